//! Adapters for the platform: table service, object store, VM list, cloud and weight store.
