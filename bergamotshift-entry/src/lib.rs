//! The entry daemon: callers' APIs, the request path, control tasks and the operators' address.
