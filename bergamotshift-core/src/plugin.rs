//! Registry of plug-ins that register themselves.
//!
//! Each kind of plug-in has a descriptor type that can be stored in a `static` and is collected with [`inventory`]. The
//! crate that defines the plug-in trait declares the collection, and each implementation submits a descriptor. Users
//! look up a plug-in by name; the kernel does not name any.
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
//! let kind = plugin::find::<Kind>("plain").expect("the plug-in is registered");
//! assert_eq!((kind.build)().greet(), "hello");
//! ```

pub use inventory;

/// Descriptor of a plug-in that is found by its name.
pub trait Named {
    /// Returns the name that selects the plug-in in the settings.
    fn name(&self) -> &'static str;
}

/// Returns the registered plug-in of kind `K` with this name.
pub fn find<K>(name: &str) -> Option<&'static K>
where
    K: Named + inventory::Collect,
{
    inventory::iter::<K>.into_iter().find(|kind| kind.name() == name)
}

/// Returns the sorted names of all registered plug-ins of kind `K`.
pub fn names<K>() -> Vec<&'static str>
where
    K: Named + inventory::Collect,
{
    let mut names: Vec<_> = inventory::iter::<K>.into_iter().map(Named::name).collect();
    names.sort_unstable();
    names
}
