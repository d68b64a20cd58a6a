//! Content of a folder as one value: names, digests and texts of its files.

use core::fmt;
use core::hash::Hash;
use core::hash::Hasher;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use crate::config::Config;
use crate::digest::Digest;
use crate::folder;

/// Maximum size of a file, in bytes. A file is transferred as one object or message.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 4096;

/// Names of the files of a folder and digests of their texts, ordered by name.
///
/// The digest of the listing identifies the whole content.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Listing {
    files: BTreeMap<SmolStr, Digest>,
}

impl Listing {
    /// Returns the names of the files and the digests of their texts.
    pub const fn files(&self) -> &BTreeMap<SmolStr, Digest> {
        &self.files
    }

    /// Computes the digest that identifies the whole content.
    ///
    /// Each name is prefixed with its length, so that different listings never have the same encoding.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::new();
        for (name, digest) in &self.files {
            bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(digest.as_bytes());
        }
        Digest::of(bytes)
    }

    /// Returns the digests of the files whose texts are not in `known`.
    pub fn missing(&self, known: &Manifest) -> BTreeSet<Digest> {
        let known_digests: BTreeSet<_> = known.inner.listing.files.values().collect();
        self.files
            .values()
            .filter(|digest| !known_digests.contains(digest))
            .copied()
            .collect()
    }
}

/// Content of a folder. Clones share the content.
#[derive(Clone, Default)]
pub struct Manifest {
    inner: Arc<Inner>,
}

#[derive(Clone, Default)]
struct Inner {
    listing: Listing,
    texts: BTreeMap<Digest, Arc<str>>,
}

/// Error that prevents a manifest from being created or merged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The text of this file of the listing is missing.
    #[error("the text of {0} is missing")]
    Missing(SmolStr),
    /// This file is larger than [`MAX_FILE_BYTES`].
    #[error("{0} is larger than {MAX_FILE_BYTES} bytes")]
    Large(SmolStr),
    /// There are more than [`MAX_FILES`] files.
    #[error("a folder holds at most {MAX_FILES} files")]
    Many,
    /// Two operators changed these files.
    #[error("changed by another operator at the same time: {}", .0.join(", "))]
    Conflict(Vec<SmolStr>),
}

impl Manifest {
    /// Creates a manifest from the names and texts of files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is too large or there are too many files.
    pub fn new<N: AsRef<str>, T: AsRef<str>>(files: &[(N, T)]) -> Result<Self, Error> {
        if files.len() > MAX_FILES {
            return Err(Error::Many);
        }
        let mut manifest = Self::default();
        for (name, text) in files {
            let (name, text) = (SmolStr::new(name), text.as_ref());
            if text.len() > MAX_FILE_BYTES {
                return Err(Error::Large(name));
            }
            manifest.insert(name, Digest::of(text), text.into());
        }
        Ok(manifest)
    }

    /// Creates a manifest from a listing and texts that were received from the platform or a peer.
    ///
    /// Texts are looked up by their own digest, so a text with the wrong content counts as missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a text is missing.
    pub fn assemble(listing: &Listing, texts: impl IntoIterator<Item = Arc<str>>) -> Result<Self, Error> {
        let texts: BTreeMap<_, _> = texts.into_iter().map(|text| (Digest::of(&*text), text)).collect();
        let mut manifest = Self::default();
        for (name, digest) in &listing.files {
            let text = texts.get(digest).ok_or_else(|| Error::Missing(name.clone()))?;
            manifest.insert(name.clone(), *digest, Arc::clone(text));
        }
        Ok(manifest)
    }

    /// Returns the listing of names and digests.
    pub fn listing(&self) -> &Listing {
        &self.inner.listing
    }

    /// Computes the digest that identifies the whole content.
    pub fn digest(&self) -> Digest {
        self.inner.listing.digest()
    }

    /// Returns the text with this digest.
    pub fn text(&self, digest: &Digest) -> Option<&Arc<str>> {
        self.inner.texts.get(digest)
    }

    /// Returns the names and texts of the files, ordered by name.
    pub fn files(&self) -> impl Iterator<Item = (&SmolStr, &Arc<str>)> {
        self.inner
            .listing
            .files
            .iter()
            .map(|(name, digest)| (name, &self.inner.texts[digest]))
    }

    /// Parses and validates the content.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with file, line and key.
    pub fn config(&self) -> Result<Config, folder::Error> {
        self.config_with(&folder::Parser::default())
    }

    /// Parses and validates the content with a parser.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with file, line and key.
    pub fn config_with(&self, parser: &folder::Parser<'_>) -> Result<Config, folder::Error> {
        let files: Vec<_> = self.files().map(|(name, text)| (name.as_str(), &**text)).collect();
        parser.parse(&files)
    }

    /// Merges two operators' edits `ours` and `theirs` of the same `base`, file by file.
    ///
    /// The result is not validated: it may be invalid although both edits are valid.
    ///
    /// # Errors
    ///
    /// Returns the names of all files that both edits changed in different ways.
    pub fn merge(base: &Self, ours: &Self, theirs: &Self) -> Result<Self, Error> {
        let sides = [base, ours, theirs];
        let names: BTreeSet<_> = sides.iter().flat_map(|side| side.inner.listing.files.keys()).collect();
        let mut merged = Self::default();
        let mut conflicts = Vec::new();
        for name in names {
            let [before, our, their] = sides.map(|side| side.inner.listing.files.get(name));
            let (side, kept) = match (our == before, their == before) {
                (true, _) => (theirs, their),
                (_, true) => (ours, our),
                _ if our == their => (ours, our),
                _ => {
                    conflicts.push(name.clone());
                    continue;
                }
            };
            if let Some(digest) = kept {
                merged.insert(name.clone(), *digest, Arc::clone(&side.inner.texts[digest]));
            }
        }
        if conflicts.is_empty() {
            Ok(merged)
        } else {
            Err(Error::Conflict(conflicts))
        }
    }

    fn insert(&mut self, name: SmolStr, digest: Digest, text: Arc<str>) {
        let inner = Arc::make_mut(&mut self.inner);
        inner.listing.files.insert(name, digest);
        inner.texts.insert(digest, text);
    }
}

// The listing contains the digests of the texts, so comparing the listings suffices.

impl PartialEq for Manifest {
    fn eq(&self, other: &Self) -> bool {
        self.inner.listing == other.inner.listing
    }
}

impl Eq for Manifest {}

impl Hash for Manifest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.inner.listing.hash(state);
    }
}

impl fmt::Debug for Manifest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Manifest")
            .field("listing", &self.inner.listing)
            .finish_non_exhaustive()
    }
}
