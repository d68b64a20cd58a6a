//! Small stand-ins for the platform and for endpoints, over HTTP on loopback, with faults on order.
