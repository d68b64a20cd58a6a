//! Times at which refused callers return to capacity that is kept for them.
//!
//! ```
//! use bergamotshift_limit::returns::{Asked, Book, Returned, Settings};
//! use bergamotshift_core::prelude::*;
//! use core::time::Duration;
//!
//! let mut book = Book::new(Settings::default());
//! let asked = Asked {
//!     key: Fingerprint::new(1),
//!     urgency: 0,
//!     work: Duration::from_millis(100),
//!     excess: Duration::from_millis(300),
//!     engines: 2.0,
//!     longest: Duration::from_secs(2),
//! };
//! let after = book.promise(Instant::ZERO, &asked);
//! assert_eq!(after, Duration::from_millis(300));
//! assert_eq!(book.redeem(Instant::ZERO + after, asked.key), Returned::Kept);
//! ```

mod book;

pub use self::book::Asked;
pub use self::book::Book;
pub use self::book::Returned;
pub use self::book::Settings;
