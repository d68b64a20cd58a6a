//! The platform as the `config` actions reach it.

use std::rc::Rc;

use ntex::rt::DefaultRuntime;
use ntex::rt::System;

use crate::config::accept::View;
use crate::config::accept::record;
use crate::config::accept::record::Record;
use crate::config::accept::record::Version;
use crate::config::digest::Digest;
use crate::config::manifest::Manifest;
use crate::core::plugin;
use crate::core::table::Row;
use crate::entry::configuration::Store;
use crate::entry::settings;
use crate::error::Error;
use crate::platform::Kind;
use crate::platform::table::Table;
use crate::setting;

/// Versions that one listing call asks for.
const PAGE: u32 = 100;

/// The table and the content of one platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table.
    pub table: Rc<dyn Table>,
    /// The content.
    pub store: Store,
}

impl Platform {
    /// Connects to the platform that the flags name.
    ///
    /// # Errors
    ///
    /// Returns the setting that is wrong or missing.
    pub async fn connect(table: Option<&str>, objects: Option<&str>) -> Result<Self, Error> {
        let addresses = settings::Platform {
            table: Some(setting::required("table", table, "the platform's table service")?),
            objects: Some(setting::required("objects", objects, "the platform's object store")?),
            ..settings::Platform::default()
        };
        let kind = plugin::find::<Kind>("http").ok_or_else(|| Error::Failed("no platform adapter".to_owned()))?;
        let platform = (kind.connect)(addresses.over_http())
            .await
            .map_err(|error| Error::failed(&error))?;
        let (Some(table), Some(objects)) = (platform.table, platform.objects) else {
            return Err(Error::Failed("the adapter has no table or no object store".to_owned()));
        };
        Ok(Self {
            table,
            store: Store::new(objects),
        })
    }

    /// Returns the record of a version, or of the accepted one; nothing when no version was ever accepted.
    ///
    /// # Errors
    ///
    /// Returns why it can't be read, or that there is no such version.
    pub async fn version(&self, wanted: Option<Version>) -> Result<Option<Record>, Error> {
        let version = match wanted {
            Some(version) => Some(version),
            None => self.accepted().await?,
        };
        let Some(version) = version else {
            return Ok(None);
        };
        let row = self.row(record::version_key(version)).await?;
        let row = row.ok_or_else(|| Error::Failed(format!("there is no version {}", version.get())))?;
        decode(&row).map(Some)
    }

    async fn accepted(&self) -> Result<Option<Version>, Error> {
        let row = self.row(record::head_key()).await?;
        let view = View::read(row.as_ref()).map_err(|error| Error::failed(&error))?;
        Ok(view.head.accepted.map(|revision| revision.version))
    }

    async fn row(&self, key: crate::core::table::Key) -> Result<Option<Row>, Error> {
        let rows = self.table.get(vec![key]).await.map_err(|error| Error::failed(&error))?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Returns content by its digest.
    ///
    /// # Errors
    ///
    /// Returns why it can't be fetched.
    pub async fn content(&self, digest: &Digest) -> Result<Manifest, Error> {
        let content = self.store.get(digest, &Manifest::default()).await;
        content.map_err(|error| Error::failed(&error))
    }

    /// Returns the content of the accepted version; empty when there is none.
    ///
    /// # Errors
    ///
    /// Returns why it can't be read.
    pub async fn accepted_content(&self) -> Result<Manifest, Error> {
        match self.version(None).await? {
            Some(record) => self.content(&record.revision.digest).await,
            None => Ok(Manifest::default()),
        }
    }

    /// Returns the records of all versions, oldest first.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    pub async fn history(&self) -> Result<Vec<Record>, Error> {
        let mut records = Vec::new();
        let mut after = None;
        loop {
            let page = self.table.query(record::VERSIONS.into(), after, PAGE).await;
            let page = page.map_err(|error| Error::failed(&error))?;
            for (_, row) in &page.rows {
                records.push(decode(row)?);
            }
            if page.next.is_none() {
                return Ok(records);
            }
            after = page.next;
        }
    }
}

fn decode(row: &Row) -> Result<Record, Error> {
    record::decode(row).map_err(|error| Error::failed(&error))
}

/// Runs a command's calls to the platform to their end.
pub fn block_on<T: 'static>(work: impl Future<Output = T> + 'static) -> T {
    System::new("config", DefaultRuntime).block_on(work)
}
