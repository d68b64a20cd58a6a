//! Kinds of platform, chosen by name in the settings of a process.

use core::time::Duration;

use bergamotshift_core::plugin;
use bergamotshift_core::plugin::Named;
use smol_str::SmolStr;

use crate::Error;
use crate::Future;
use crate::Platform;

/// Where a process finds the platform; a part without an address is away for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The table service.
    pub table: Option<SmolStr>,
    /// The object store.
    pub objects: Option<SmolStr>,
    /// The VM list and the notices.
    pub vms: Option<SmolStr>,
    /// The cloud API.
    pub cloud: Option<SmolStr>,
    /// The weight store.
    pub weights: Option<SmolStr>,
    /// The name of the table.
    pub table_name: SmolStr,
    /// The name of the bucket.
    pub bucket: SmolStr,
    /// A file's content or a variable's value that proves who asks; empty sends nothing.
    pub token: Secret,
    /// How long to wait for an answer.
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

/// Text that must not show in logs.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Hides a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl core::fmt::Debug for Secret {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A kind of platform, which registers itself.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The name by which settings choose it.
    pub name: &'static str,
    /// Makes the clients of one thread.
    pub connect: fn(Settings) -> Future<'static, Result<Platform, Error>>,
}

impl Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);
