//! Adapters for endpoints: model engines and plain services.
