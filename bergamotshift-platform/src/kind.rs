//! Kinds of platform: named implementations of the traits, registered as plug-ins.

use core::time::Duration;

use bergamotshift_core::plugin;
use bergamotshift_core::plugin::Named;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;
use crate::Platform;

/// Addresses and credentials of the platform; a service without an address is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Base URL of the table service.
    pub table: Option<SmolStr>,
    /// Base URL of the object store.
    pub objects: Option<SmolStr>,
    /// Base URL of the VM list and the reclaim notices.
    pub vms: Option<SmolStr>,
    /// Base URL of the cloud API.
    pub cloud: Option<SmolStr>,
    /// Base URL of the weight store.
    pub weights: Option<SmolStr>,
    /// Name of the table.
    pub table_name: SmolStr,
    /// Name of the bucket.
    pub bucket: SmolStr,
    /// Bearer token that authenticates the process; no token is sent if it is empty.
    pub token: Secret,
    /// Timeout of a call.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            table: None,
            objects: None,
            vms: None,
            cloud: None,
            weights: None,
            table_name: SmolStr::new_static("bergamotshift"),
            bucket: SmolStr::new_static("bergamotshift"),
            token: Secret::default(),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Text whose `Debug` output is redacted, so that it does not appear in logs.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text in clear.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl core::fmt::Debug for Secret {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Kind of platform, registered as a plug-in.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name that selects this kind.
    pub name: &'static str,
    /// Creates the clients for the current thread.
    pub connect: fn(Settings) -> Future<'static, Result<Platform, Error>>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
