//! Content of configurations in the object store, with each file stored under the digest of its text.

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest;
use bergamotshift_config::manifest::Listing;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_platform::objects::Objects;
use bergamotshift_platform::objects::Precondition;
use bytes::Bytes;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use thiserror::Error as ThisError;

/// Error of reading or writing content.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The object store failed.
    #[error(transparent)]
    Platform(#[from] bergamotshift_platform::Error),
    /// An object is missing.
    #[error("{0} is not in the object store")]
    Missing(SmolStr),
    /// A listing can't be read.
    #[error("a listing cannot be read: {0}")]
    Listing(#[from] serde_json::Error),
    /// A text does not match its digest or is missing.
    #[error(transparent)]
    Manifest(#[from] manifest::Error),
}

/// Store of content, addressed by digest.
///
/// An object never changes under its name, so repeated and concurrent writes of it are harmless.
#[derive(Clone, Debug)]
pub struct Store {
    objects: Rc<dyn Objects>,
}

impl Store {
    /// Creates a store on top of an object store.
    pub const fn new(objects: Rc<dyn Objects>) -> Self {
        Self { objects }
    }

    /// Writes content: first the texts, then the listing that refers to them.
    ///
    /// # Errors
    ///
    /// Returns an error if the content may not be stored completely.
    pub async fn put(&self, manifest: &Manifest) -> Result<(), Error> {
        for (name, digest) in manifest.listing().files() {
            let text = manifest
                .text(digest)
                .ok_or_else(|| manifest::Error::Missing(name.clone()))?;
            let body = Bytes::copy_from_slice(text.as_bytes());
            self.objects.put(file_key(digest), body, Precondition::None).await?;
        }
        let listing = serde_json::to_vec(manifest.listing())?;
        let key = listing_key(&manifest.digest());
        self.objects.put(key, listing.into(), Precondition::None).await?;
        Ok(())
    }

    /// Reads content, reusing the texts that `held` already contains.
    ///
    /// # Errors
    ///
    /// Returns an error if any part is missing or cannot be read.
    pub async fn get(&self, digest: &Digest, held: &Manifest) -> Result<Manifest, Error> {
        let listing: Listing = serde_json::from_slice(&self.object(listing_key(digest)).await?)?;
        let missing = listing.missing(held);
        let mut texts: Vec<Arc<str>> = listing
            .files()
            .values()
            .filter_map(|digest| held.text(digest).cloned())
            .collect();
        for digest in missing {
            let body = self.object(file_key(&digest)).await?;
            texts.push(String::from_utf8_lossy(&body).into());
        }
        Ok(Manifest::assemble(&listing, texts)?)
    }

    async fn object(&self, key: SmolStr) -> Result<Vec<u8>, Error> {
        let object = self.objects.get(key.clone()).await?;
        object.map(|object| object.body.to_vec()).ok_or(Error::Missing(key))
    }
}

fn file_key(digest: &Digest) -> SmolStr {
    format_smolstr!("config/file/{}", object_name(digest))
}

fn listing_key(digest: &Digest) -> SmolStr {
    format_smolstr!("config/listing/{}", object_name(digest))
}

/// Returns the digest's text without `:`, which not every object store allows in names.
fn object_name(digest: &Digest) -> String {
    digest.to_string().replace(':', "-")
}
