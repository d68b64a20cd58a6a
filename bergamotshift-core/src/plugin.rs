//! Plug-ins that register themselves.
//!
//! A kind of plug-in is a `static`-friendly descriptor type, collected with [`inventory`]. The crate that defines the
//! trait names the kind once; each implementation submits a descriptor; whoever needs one looks it up by name. The
//! kernel names no plug-in.
//!
//! ```
//! use bergamotshift_core::plugin::{self, Named};
//!
//! trait Greeter {
//!     fn greet(&self) -> &'static str;
//! }
//!
//! struct Kind {
//!     name: &'static str,
//!     build: fn() -> Box<dyn Greeter>,
//! }
//!
//! impl Named for Kind {
//!     fn name(&self) -> &'static str {
//!         self.name
//!     }
//! }
//!
//! plugin::inventory::collect!(Kind);
//!
//! struct Plain;
//!
//! impl Greeter for Plain {
//!     fn greet(&self) -> &'static str {
//!         "hello"
//!     }
//! }
//!
//! plugin::inventory::submit! { Kind { name: "plain", build: || Box::new(Plain) } }
//!
//! let kind = plugin::find::<Kind>("plain").expect("it registered itself");
//! assert_eq!((kind.build)().greet(), "hello");
//! ```

pub use inventory;

/// A plug-in's descriptor, found by its name.
pub trait Named {
    /// Returns the name by which settings choose the plug-in.
    fn name(&self) -> &'static str;
}

/// Finds the registered plug-in of kind `K` with this name.
pub fn find<K>(name: &str) -> Option<&'static K>
where
    K: Named + inventory::Collect,
{
    inventory::iter::<K>.into_iter().find(|kind| kind.name() == name)
}

/// Returns the names of all registered plug-ins of kind `K`, sorted.
pub fn names<K>() -> Vec<&'static str>
where
    K: Named + inventory::Collect,
{
    let mut names: Vec<_> = inventory::iter::<K>.into_iter().map(Named::name).collect();
    names.sort_unstable();
    names
}
