//! Reads how entries stand and sets it out as a table.

pub mod fetch;
pub mod table;

use core::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::entry::admin::status::Status;

/// What one entry said, or why it did not.
#[derive(Clone, Debug)]
pub struct Report {
    /// The entry's address for operators.
    pub address: SocketAddr,
    /// Its status.
    pub status: Result<Status, String>,
}

impl Report {
    /// Returns the report as JSON: the address, and `status` or `error`.
    pub fn json(&self) -> Value {
        match &self.status {
            Ok(status) => json!({ "address": self.address, "status": status }),
            Err(error) => json!({ "address": self.address, "error": error }),
        }
    }
}
