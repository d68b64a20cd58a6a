//! The labels of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// A set of labels that knows their names.
pub(super) trait Label: EncodeLabelSet {
    /// The names, in the order in which they are written.
    const NAMES: &'static [&'static str];
}

macro_rules! label {
    ($(#[$doc:meta])* $name:ident { $($field:ident: $type:ty),+ }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash)]
        #[derive(EncodeLabelSet)]
        pub(super) struct $name {
            $(pub(super) $field: $type),+
        }

        impl Label for $name {
            const NAMES: &'static [&'static str] = &[$(stringify!($field)),+];
        }
    };
}

label! {
    /// One service.
    Service { service: String }
}

label! {
    /// How a service's requests ended.
    Answer { service: String, outcome: &'static str }
}

label! {
    /// Why an attempt was followed by another.
    Retry { service: String, cause: &'static str }
}

label! {
    /// What a caller was told of a failure.
    Failure { code: &'static str, outcome: &'static str }
}

label! {
    /// Endpoints that stand alike.
    Endpoints { service: String, zone: String, state: &'static str }
}

label! {
    /// What the control thread was told.
    Control { kind: &'static str }
}

label! {
    /// Calls of one part of the platform.
    Platform { part: &'static str, call: &'static str, result: &'static str }
}
