//! Adapters over HTTP.
//!
//! The table service speaks the DynamoDB JSON protocol, the object store the S3 protocol, and the VM list, the cloud
//! and the weight store small JSON protocols of their own.

mod client;
pub mod cloud;
mod connect;
mod connector;
pub mod objects;
mod signer;
pub mod table;
pub mod vms;
pub mod weights;

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;

/// What is escaped in a path: all but the characters that every server reads as they stand.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~')
    .remove(b'/');

pub use client::Answer;
pub use client::Client;
pub use client::Settings;
pub use cloud::Cloud;
pub use objects::Objects;
pub use signer::Bearer;
pub use signer::Signer;
pub use table::Table;
pub use vms::Vms;
pub use weights::Weights;
