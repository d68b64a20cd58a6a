//! Runs one entry's member of the acceptance protocol.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::member::Action;
use bergamotshift_config::accept::member::Event;
use bergamotshift_config::accept::member::Source;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_platform::table::Table;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use super::Peers;
use super::Store;
use crate::control;
use crate::watch;

/// Minimum sleep between two steps, so that a wake-up that is already due does not cause a busy loop.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Clients and channels through which the member's actions are carried out.
#[derive(Debug)]
pub struct Dependencies {
    /// The platform's table.
    pub table: Rc<dyn Table>,
    /// Store of configuration content.
    pub store: Store,
    /// The other entries.
    pub peers: Rc<dyn Peers>,
    /// Channel to the control thread, which puts versions in force.
    pub control: control::Sender,
    /// Destination of log records.
    pub logger: Logger,
}

/// Channel that sends events to the member.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Runs the member until its task is cancelled.
///
/// Each call runs in its own task and returns one event, so that a slow platform does not delay the messages of peers.
pub async fn run(
    mut member: Member,
    dependencies: Rc<Dependencies>,
    clock: impl Fn() -> Instant,
    mut generator: Pcg64Mcg,
    sender: Sender,
    mut events: mpsc::UnboundedReceiver<Event>,
) {
    loop {
        let now = clock();
        let sleep = member.wake(now).since(now).max(MIN_SLEEP);
        let event = tokio::select! {
            event = events.recv() => event.unwrap_or(Event::Tick),
            () = tokio::time::sleep(sleep) => Event::Tick,
        };
        let actions = member.handle(clock(), event, &mut generator);
        dependencies.peers.update(&member);
        for action in actions {
            perform(&member, &dependencies, action, &sender);
        }
    }
}

/// Executes an action; calls to the platform or to peers run in tasks of their own.
fn perform(member: &Member, dependencies: &Rc<Dependencies>, action: Action, sender: &Sender) {
    match action {
        Action::Announce(announcement) => dependencies.peers.announce(announcement),
        Action::Reply { to, announcement } => dependencies.peers.reply(&to, announcement),
        Action::Switch { revision, config } => {
            info!(dependencies.logger, "configuration in force"; "version" => revision.version.get());
            dependencies.control.send(watch::Event::Configured { revision, config });
        }
        Action::Reject { revision, reason } => {
            error!(dependencies.logger,
                "this release cannot use the accepted configuration, the last one stays in force";
                "version" => revision.version.get(), "reason" => reason);
        }
        call @ (Action::Read(_) | Action::Write(_) | Action::Fetch { .. }) => {
            let held = member
                .in_force()
                .and_then(|revision| member.content(&revision.digest).cloned());
            let (dependencies, sender) = (Rc::clone(dependencies), sender.clone());
            let task = async move {
                let event = execute(&dependencies, call, held.unwrap_or_default()).await;
                // The member's task may have been cancelled in the meantime.
                drop(sender.send(event));
            };
            ntex::rt::spawn(task).detach();
        }
    }
}

/// Executes a call and returns its result as an event.
async fn execute(dependencies: &Dependencies, call: Action, held: Manifest) -> Event {
    match call {
        Action::Read(keys) => match dependencies.table.get(keys).await {
            Ok(rows) => Event::Rows(rows),
            Err(error) => {
                warn!(dependencies.logger, "cannot read the configuration's rows"; "error" => %error);
                Event::ReadFailed
            }
        },
        Action::Write(writes) => Event::Ended(dependencies.table.transact(writes).await),
        Action::Fetch { digest, from } => fetch(dependencies, digest, from, held).await,
        _ => Event::Tick,
    }
}

/// Fetches content from a peer or from the object store.
async fn fetch(dependencies: &Dependencies, digest: Digest, from: Source, held: Manifest) -> Event {
    let found = match from {
        Source::Peer(peer) => dependencies.peers.fetch(&peer, digest).await,
        Source::Platform => match dependencies.store.get(&digest, &held).await {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                warn!(dependencies.logger, "cannot fetch a configuration"; "error" => %error);
                None
            }
        },
    };
    found.map_or(Event::FetchFailed, Event::Fetched)
}
