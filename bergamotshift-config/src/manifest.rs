//! A folder's content as one value: file names, digests and texts.

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

/// The largest file, in bytes: one object or message carries it.
pub const MAX_FILE: usize = 256 * 1024;

/// The most files of a folder.
pub const MAX_FILES: usize = 4096;

/// The names of a folder's files and the digests of their texts, in the order of the names.
///
/// Its own digest stands for the whole content.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Listing {
    files: BTreeMap<SmolStr, Digest>,
}

impl Listing {
    /// Returns the files and their digests.
    pub const fn files(&self) -> &BTreeMap<SmolStr, Digest> {
        &self.files
    }

    /// Computes the digest that stands for the whole content.
    ///
    /// Lengths go in front of names, so no two listings have the same bytes.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::new();
        for (name, digest) in &self.files {
            bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(digest.bytes());
        }
        Digest::of(bytes)
    }

    /// Returns the digests of the files that `held` lacks.
    pub fn missing(&self, held: &Manifest) -> BTreeSet<Digest> {
        let known: BTreeSet<_> = held.inner.listing.files.values().collect();
        self.files
            .values()
            .filter(|digest| !known.contains(digest))
            .copied()
            .collect()
    }
}

/// A folder's content. Cloning it is cheap: the content is shared.
#[derive(Clone, Default)]
pub struct Manifest {
    inner: Arc<Inner>,
}

#[derive(Clone, Default)]
struct Inner {
    listing: Listing,
    texts: BTreeMap<Digest, Arc<str>>,
}

/// Content that makes no manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// A text of the listing is missing.
    #[error("the text of {0} is missing")]
    Missing(SmolStr),
    /// A file is too large.
    #[error("{0} is larger than {MAX_FILE} bytes")]
    Large(SmolStr),
    /// There are too many files.
    #[error("a folder holds at most {MAX_FILES} files")]
    Many,
    /// Two operators changed the same files.
    #[error("changed by another operator at the same time: {}", .0.join(", "))]
    Conflict(Vec<SmolStr>),
}

impl Manifest {
    /// Makes a manifest from names and texts.
    ///
    /// # Errors
    ///
    /// Fails when a file is too large, or there are too many.
    pub fn new<N: AsRef<str>, T: AsRef<str>>(files: &[(N, T)]) -> Result<Self, Error> {
        if files.len() > MAX_FILES {
            return Err(Error::Many);
        }
        let mut manifest = Self::default();
        for (name, text) in files {
            let (name, text) = (SmolStr::new(name), text.as_ref());
            if text.len() > MAX_FILE {
                return Err(Error::Large(name));
            }
            manifest.insert(name, Digest::of(text), text.into());
        }
        Ok(manifest)
    }

    /// Puts a listing and texts together, such as they came from the platform or a peer.
    ///
    /// Each text is found by its own digest, so a wrong one is a missing one.
    ///
    /// # Errors
    ///
    /// Fails when a text is missing.
    pub fn assemble(listing: &Listing, texts: impl IntoIterator<Item = Arc<str>>) -> Result<Self, Error> {
        let texts: BTreeMap<_, _> = texts.into_iter().map(|text| (Digest::of(&*text), text)).collect();
        let mut manifest = Self::default();
        for (name, digest) in &listing.files {
            let text = texts.get(digest).ok_or_else(|| Error::Missing(name.clone()))?;
            manifest.insert(name.clone(), *digest, Arc::clone(text));
        }
        Ok(manifest)
    }

    /// Returns names and digests.
    pub fn listing(&self) -> &Listing {
        &self.inner.listing
    }

    /// Computes the digest that stands for the whole content.
    pub fn digest(&self) -> Digest {
        self.inner.listing.digest()
    }

    /// Returns the text with this digest.
    pub fn text(&self, digest: &Digest) -> Option<&Arc<str>> {
        self.inner.texts.get(digest)
    }

    /// Returns names and texts, in the order of the names.
    pub fn files(&self) -> impl Iterator<Item = (&SmolStr, &Arc<str>)> {
        self.inner
            .listing
            .files
            .iter()
            .map(|(name, digest)| (name, &self.inner.texts[digest]))
    }

    /// Parses and checks the content.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with file, line and key.
    pub fn config(&self) -> Result<Config, folder::Error> {
        self.config_with(&folder::Parser::default())
    }

    /// Parses the content and checks it in the parser's way.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with file, line and key.
    pub fn config_with(&self, parser: &folder::Parser<'_>) -> Result<Config, folder::Error> {
        let files: Vec<_> = self.files().map(|(name, text)| (name.as_str(), &**text)).collect();
        parser.parse(&files)
    }

    /// Merges two operators' edits of one base: `ours` and `theirs`, file by file.
    ///
    /// The result is not checked; each edit may be valid and their sum not.
    ///
    /// # Errors
    ///
    /// Fails when both changed the same file in different ways, and names every such file.
    pub fn merge(base: &Self, ours: &Self, theirs: &Self) -> Result<Self, Error> {
        let sides = [base, ours, theirs];
        let names: BTreeSet<_> = sides.iter().flat_map(|side| side.inner.listing.files.keys()).collect();
        let mut merged = Self::default();
        let mut conflicts = Vec::new();
        for name in names {
            let [was, our, their] = sides.map(|side| side.inner.listing.files.get(name));
            let (side, kept) = match (our == was, their == was) {
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

// The listing's digests stand for the texts, so comparing the listings is enough.

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
