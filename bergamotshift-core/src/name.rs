//! Names given by operators.
//!
//! Names are stable across processes and restarts and are the only identifiers of these entities on the wire.

use core::borrow::Borrow;
use core::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(SmolStr::new(text))
            }

            /// Creates a name from static text.
            pub const fn new_static(text: &'static str) -> Self {
                Self(SmolStr::new_static(text))
            }

            /// Returns the name's text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                self.as_str()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.as_str()
            }
        }
    };
}

name! {
    /// Name of a region, which contains several availability zones.
    Region
}

name! {
    /// Name of an availability zone.
    Zone
}

name! {
    /// Name of a service that operators offer to callers.
    Service
}

name! {
    /// Name of an organisation, whose callers share its keys, limits and rules.
    Organisation
}

name! {
    /// Name of a model as requested by callers.
    Model
}

name! {
    /// Name of a VM in the platform's list.
    Vm
}

name! {
    /// Name of a machine class, such as an accelerator type, with one price per market.
    Class
}

name! {
    /// Name of an entry, one daemon of the fleet.
    Entry
}
