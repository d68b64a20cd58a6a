//! Kind of platform that is reached over HTTP.

use std::rc::Rc;

use bergamotshift_core::plugin::inventory;
use smol_str::SmolStr;

use super::Bearer;
use super::Client;
use super::Cloud;
use super::Objects;
use super::Table;
use super::Vms;
use super::Weights;
use super::objects;
use super::table;
use crate::Error;
use crate::Platform;
use crate::kind::Kind;
use crate::kind::Settings;

inventory::submit! {
    Kind { name: "http", connect: |settings| Box::pin(connect(settings)) }
}

/// Creates the client of each service that has a base URL.
async fn connect(settings: Settings) -> Result<Platform, Error> {
    let mut platform = Platform::default();
    if let Some(client) = client(&settings, settings.table.as_ref()).await? {
        let settings = table::Settings {
            table: settings.table_name.clone(),
            ..table::Settings::default()
        };
        platform.table = Some(Rc::new(Table::new(client, settings)?));
    }
    if let Some(client) = client(&settings, settings.objects.as_ref()).await? {
        let bucket = settings.bucket.clone();
        platform.objects = Some(Rc::new(Objects::new(client, objects::Settings { bucket })));
    }
    if let Some(client) = client(&settings, settings.vms.as_ref()).await? {
        platform.vms = Some(Rc::new(Vms::new(client)));
    }
    if let Some(client) = client(&settings, settings.cloud.as_ref()).await? {
        platform.cloud = Some(Rc::new(Cloud::new(client)));
    }
    if let Some(client) = client(&settings, settings.weights.as_ref()).await? {
        platform.weights = Some(Rc::new(Weights::new(client)));
    }
    Ok(platform)
}

/// Creates an HTTP client, or returns `None` without a base URL.
async fn client(settings: &Settings, base: Option<&SmolStr>) -> Result<Option<Client>, Error> {
    let Some(base) = base else {
        return Ok(None);
    };
    let settings = super::Settings {
        base: base.trim_end_matches('/').to_owned(),
        timeout: settings.timeout,
        signer: Rc::new(Bearer::new(settings.token.expose())),
        ..super::Settings::default()
    };
    Client::new(settings).await.map(Some)
}
