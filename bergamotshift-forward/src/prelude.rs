//! The types that most modules need.

pub use bergamotshift_core::prelude::*;

pub use crate::dialect::Dialect;
pub use crate::document::Document;
pub use crate::endpoint::Endpoint;
pub use crate::settings::Settings;
