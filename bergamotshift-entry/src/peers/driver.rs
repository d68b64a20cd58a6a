//! Runs the fleet kernel: feeds it events and executes its actions.

use core::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::handover::Answer;
use bergamotshift_fleet::handover::Keeper;
use bergamotshift_fleet::handover::Question;
use bergamotshift_fleet::kernel::Action;
use bergamotshift_fleet::kernel::Event as Input;
use bergamotshift_fleet::kernel::Kernel;
use bergamotshift_fleet::member;
use bergamotshift_fleet::note;
use bergamotshift_link::identity::Identity;
use bergamotshift_link::node::Error;
use bergamotshift_link::node::Incoming;
use bergamotshift_link::node::Node;
use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_pcg::Pcg64Mcg;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Content;
use super::Event;
use super::Request;
use super::Settings;
use super::content;
use super::handover;
use crate::admin::status;
use crate::worker::Shared;

/// Topic of configuration content in [`Question::Fetch`].
const CONFIG_TOPIC: u8 = 1;

/// Task that runs a fleet kernel over a link.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) kernel: Kernel,
    pub(super) node: Node,
    pub(super) keeper: Keeper,
    content: Rc<Content>,
    incoming: mpsc::Receiver<Incoming>,
    requests: mpsc::UnboundedReceiver<Request>,
}

impl Driver {
    pub(super) fn new(
        shared: &Arc<Shared>,
        settings: &Settings,
        requests: mpsc::UnboundedReceiver<Request>,
        content: Rc<Content>,
    ) -> Result<Self, Error> {
        let credentials = &settings.credentials;
        let identity = Identity::from_pem(&credentials.chain, &credentials.key, &credentials.authority)?;
        let link = bergamotshift_link::node::Settings {
            listen: settings.listen,
            ..Default::default()
        };
        let (node, incoming) = Node::bind(&link, &identity, shared.settings.logger.clone())?;
        let me = member::Record {
            name: shared.settings.name.clone(),
            incarnation: settings.incarnation.unwrap_or_else(new_incarnation),
            version: 0,
            state: member::State::Alive,
            address: node.address()?,
            zone: shared.settings.zone.clone(),
        };
        let fleet = bergamotshift_fleet::settings::Settings {
            seeds: settings.seeds.clone(),
            ..settings.fleet.clone()
        };
        let random = Pcg64Mcg::try_from_rng(&mut SysRng).map_err(std::io::Error::other)?;
        Ok(Self {
            kernel: Kernel::new(shared.now(), me, fleet, random),
            shared: Arc::clone(shared),
            node,
            keeper: Keeper::default(),
            content,
            incoming,
            requests,
        })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.kernel.me().address
    }

    /// Runs until the entry ends. The loop never waits for another entry, so that probes are always answered.
    pub(super) async fn run(mut self) {
        loop {
            let wait = self.kernel.due().since(self.shared.now());
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.handle(request),
                    None => break,
                },
                incoming = self.incoming.recv() => match incoming {
                    Some(incoming) => self.receive(incoming),
                    None => break,
                },
                () = tokio::time::sleep(wait) => self.feed(Input::Tick),
            }
        }
        self.node.close().await;
    }

    /// Passes an event to the kernel and executes the resulting actions.
    fn feed(&mut self, event: Input) {
        let mut actions = Vec::new();
        self.kernel.handle(self.shared.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let event = match action {
            Action::Send { to, transport, bytes } => return self.node.send(to, transport, bytes),
            Action::MemberChanged(record) => {
                let logger = &self.shared.settings.logger;
                info!(logger, "member"; "entry" => record.name.as_str(), "state" => ?record.state);
                return self.publish_members();
            }
            Action::Paused { gap } => {
                warn!(self.shared.settings.logger, "this entry was paused"; "gap_ms" => gap.as_millis());
                self.keeper.clear();
                Event::Paused(gap)
            }
            Action::Superseded => Event::Superseded,
            Action::Watch(endpoint) => Event::Watching(endpoint, true),
            Action::Unwatch(endpoint) => Event::Watching(endpoint, false),
            Action::Marked(mark) => Event::Marked(mark),
            Action::NoteReceived { note, origin } if note.topic == note::Topic::CONFIG => {
                return self.content.receive_head(&note, origin, &self.shared.settings.logger);
            }
            Action::NoteReceived { note, origin } => Event::NoteReceived { note, origin },
            Action::LoadReceived { endpoint, report, age } => Event::LoadReceived { endpoint, report, age },
        };
        self.shared.control.send(event);
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::VmsListed(list) => self.feed(Input::VmsListed(list)),
            Request::EndpointLeaving {
                endpoint,
                source,
                notice_ms,
            } => self.feed(Input::EndpointLeaving {
                endpoint,
                source,
                notice_ms,
            }),
            Request::LoadReported { endpoint, report } => self.feed(Input::LoadReported { endpoint, report }),
            Request::UsageMeasured { organisation, rate } => self.feed(Input::UsageMeasured { organisation, rate }),
            Request::NotePublished {
                topic,
                key,
                version,
                body,
            } => self.feed(Input::NotePublished {
                topic,
                key,
                version,
                body,
            }),
            Request::Status(answer) => drop(answer.send(self.kernel.status(self.shared.now()))),
            Request::Keep { parcel, answer } => self.hand_over(&parcel, answer),
            Request::Find { key, answer } => self.find(key, answer),
            Request::Finish(key) => self.finish(&key),
            Request::Fetch { from, key, answer } => self.fetch(&from, key, answer),
            Request::Leave(done) => self.leave(done),
        }
    }

    /// Publishes the members in the status for operators, and this entry's rank among the live entries of its zone to the
    /// configuration's member.
    fn publish_members(&self) {
        let me = self.kernel.me();
        let members = self.kernel.members();
        let live = members
            .iter()
            .filter(|(_, record)| record.is_live() && record.zone == me.zone);
        let rank = live.filter(|(_, record)| record.name < me.name).count();
        self.content.set_rank(u16::try_from(rank).unwrap_or(u16::MAX));
        let rows = members.iter().map(|(_, record)| status::Member {
            name: record.name.clone(),
            zone: record.zone.clone(),
            address: record.address,
            health: match record.state {
                member::State::Alive => status::Health::Alive,
                member::State::Suspect => status::Health::Suspect,
                member::State::Dead => status::Health::Dead,
                member::State::Left => status::Health::Left,
            },
        });
        self.shared.reports.set_members(rows.collect());
    }

    /// Asks an entry for configuration content.
    fn fetch(&self, from: &name::Entry, key: Vec<u8>, answer: oneshot::Sender<Option<Vec<u8>>>) {
        let members = self.kernel.members();
        let Some(record) = members.find(from).and_then(|key| members.get(key)) else {
            return drop(answer.send(None));
        };
        let question = Question::Fetch {
            topic: CONFIG_TOPIC,
            key,
        };
        let reply = handover::ask_with_timeout(&self.node, record.address, question, content::FETCH_TIMEOUT);
        ntex::rt::spawn(async move {
            let content = match reply.await {
                Some(Answer::Content(content)) => Some(content),
                _ => None,
            };
            drop(answer.send(content));
        })
        .detach();
    }

    /// Announces that this entry leaves and hands over the parcels it keeps. `done` is notified once each transfer is
    /// acknowledged or has timed out.
    ///
    /// The announcement waits for acknowledgements: if the process ended with it still queued, the other entries would
    /// go on asking this one. If it was the only entry of its zone, no other entry could tell that it died.
    fn leave(&mut self, done: std::sync::mpsc::Sender<()>) {
        let parcels = self.keeper.drain(self.shared.now());
        let replies: Vec<handover::Reply> = parcels.iter().flat_map(|parcel| self.put(parcel)).collect();
        let mut actions = Vec::new();
        self.kernel.handle(self.shared.now(), Input::Leave, &mut actions);
        let mut deliveries = Vec::new();
        for action in actions {
            if let Action::Send { to, bytes, .. } = action {
                deliveries.push(handover::deliver(self.node.clone(), to, bytes));
            } else {
                self.execute(action);
            }
        }
        ntex::rt::spawn(async move {
            futures_util::future::join(join_all(replies), join_all(deliveries)).await;
            let _ = done.send(());
        })
        .detach();
    }

    fn receive(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::Frame { from, bytes } => self.feed(Input::Received { from, bytes }),
            Incoming::Question { bytes, answer, .. } => {
                let reply = self.answer(&bytes);
                drop(answer.send(reply.encode()));
            }
        }
    }

    /// Answers another entry's question.
    fn answer(&mut self, question: &[u8]) -> Answer {
        // The tick detects a pause first: a keeper that was paused must not hand out the parcels it held before.
        self.feed(Input::Tick);
        let now = self.shared.now();
        match Question::decode(question) {
            Ok(Question::Put(parcel)) => self.keeper.put(now, *parcel).into(),
            Ok(Question::Take { key, by }) => self.keeper.take(now, &key, &by).into(),
            Ok(Question::Finish(key)) => {
                self.keeper.finish(&key);
                Answer::Done
            }
            Ok(Question::Fetch { topic, key }) if topic == CONFIG_TOPIC => {
                self.content.get(&key).map_or(Answer::Missing, Answer::Content)
            }
            Ok(Question::Fetch { .. }) => Answer::Missing,
            Err(_) => Answer::Unknown,
        }
    }
}

/// Returns an incarnation for this process: the current time in milliseconds, which grows from one start to the next.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
