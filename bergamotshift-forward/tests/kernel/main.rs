//! Tests of the forwarding daemon's decisions, without network access.

mod capacity;
mod choice;
mod dialect;
mod difference;
mod directory;
mod events;
mod frames;
mod granter;
mod growing;
mod holders;
mod knowledge;
mod ledger;
mod limits;
mod members;
mod origins;
mod progress;
mod relay;
mod reports;
mod retries;
mod rounds;
mod routes;
mod settings;
mod shortage;
mod speeds;
mod support;
mod view;
