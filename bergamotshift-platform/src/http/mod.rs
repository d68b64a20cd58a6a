//! Adapters over HTTP.

mod client;
mod signer;
mod vms;

pub use client::Client;
pub use client::Settings;
pub use signer::Bearer;
pub use signer::Signer;
pub use vms::Vms;
