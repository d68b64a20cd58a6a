//! List of the organisations whose callers have keys.

use core::ops::Deref;
use core::ops::DerefMut;
use std::borrow::Cow;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::organisation::Organisation;

/// The organisations of a document. Without a list, callers need no key; an empty list lets none in.
///
/// Entries of earlier versions take an empty list for none. So it is encoded as a list of one organisation that has neither
/// name nor keys, which they read as what it is: nobody has a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations(Option<Vec<Organisation>>);

impl Organisations {
    /// Returns whether callers need a key.
    pub const fn require_keys(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the organisation that stands for an empty list in messages.
    fn placeholder() -> Organisation {
        Organisation {
            name: name::Organisation::from(""),
            keys: Vec::new(),
            urgency: None,
            limit: None,
        }
    }
}

impl From<Vec<Organisation>> for Organisations {
    fn from(list: Vec<Organisation>) -> Self {
        Self(Some(list))
    }
}

impl FromIterator<Organisation> for Organisations {
    fn from_iter<T: IntoIterator<Item = Organisation>>(iter: T) -> Self {
        Self(Some(iter.into_iter().collect()))
    }
}

impl Deref for Organisations {
    type Target = [Organisation];

    fn deref(&self) -> &[Organisation] {
        self.0.as_deref().unwrap_or_default()
    }
}

impl DerefMut for Organisations {
    fn deref_mut(&mut self) -> &mut [Organisation] {
        self.0.as_deref_mut().unwrap_or_default()
    }
}

impl Serialize for Organisations {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let list = match &self.0 {
            Some(list) if list.is_empty() => Cow::Owned(vec![Self::placeholder()]),
            Some(list) => Cow::Borrowed(list.as_slice()),
            None => Cow::Borrowed([].as_slice()),
        };
        list.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Organisations {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let list = Vec::deserialize(deserializer)?;
        Ok(Self(match list.as_slice() {
            [] => None,
            [one] if *one == Self::placeholder() => Some(Vec::new()),
            _ => Some(list),
        }))
    }
}
