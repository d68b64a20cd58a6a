//! Adapters over HTTP.
//!
//! The table service uses the DynamoDB JSON protocol and the object store the S3 protocol. The VM list, the cloud API
//! and the weight store use small JSON protocols of their own.

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

/// Characters that are percent-encoded in a path: all except the unreserved ones and the separator.
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
