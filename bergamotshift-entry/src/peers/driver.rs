//! Carries the fleet kernel's actions out.

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

/// The topic of configuration content in questions.
const CONFIG: u8 = 1;

/// Drives one kernel over one link.
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
            incarnation: settings.incarnation.unwrap_or_else(started),
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

    /// Runs until the entry ends. Nothing in it waits for another entry, so that no probe goes unanswered meanwhile.
    pub(super) async fn run(mut self) {
        loop {
            let wait = self.kernel.due().since(self.shared.now());
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.take(request),
                    None => break,
                },
                incoming = self.incoming.recv() => match incoming {
                    Some(incoming) => self.arrived(incoming),
                    None => break,
                },
                () = tokio::time::sleep(wait) => self.feed(Input::Tick),
            }
        }
        self.node.close().await;
    }

    /// Gives the kernel an event and carries out what follows.
    fn feed(&mut self, event: Input) {
        let mut actions = Vec::new();
        self.kernel.handle(self.shared.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let event = match action {
            Action::Send { to, transport, bytes } => return self.node.send(to, transport, bytes),
            Action::MemberChanged(record) => {
                let logger = &self.shared.settings.logger;
                info!(logger, "member"; "entry" => record.name.as_str(), "state" => ?record.state);
                return self.show_members();
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
                return self.content.heard(&note, origin);
            }
            Action::NoteReceived { note, origin } => Event::NoteReceived { note, origin },
            Action::LoadReceived { endpoint, report, age } => Event::LoadReceived { endpoint, report, age },
        };
        self.shared.control.send(event);
    }

    fn take(&mut self, request: Request) {
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
            Request::Keep { parcel, answer } => self.keep(&parcel, answer),
            Request::Find { key, answer } => self.find(key, answer),
            Request::Finish(key) => self.finish(&key),
            Request::Fetch { from, key, answer } => self.fetch(&from, key, answer),
            Request::Leave(done) => self.leave(done),
        }
    }

    /// Shows the members to operators, and the configuration its entry's rank among its zone's live ones.
    fn show_members(&self) {
        let me = self.kernel.me();
        let members = self.kernel.members();
        let live = members
            .iter()
            .filter(|(_, record)| record.is_live() && record.zone == me.zone);
        let rank = live.filter(|(_, record)| record.name < me.name).count();
        self.content.ranked(u16::try_from(rank).unwrap_or(u16::MAX));
        let shown = members.iter().map(|(_, record)| status::Member {
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
        self.shared.reports.set_members(shown.collect());
    }

    /// Asks an entry for configuration content.
    fn fetch(&self, from: &name::Entry, key: Vec<u8>, answer: oneshot::Sender<Option<Vec<u8>>>) {
        let members = self.kernel.members();
        let Some(record) = members.find(from).and_then(|key| members.get(key)) else {
            return drop(answer.send(None));
        };
        let question = Question::Fetch { topic: CONFIG, key };
        let asking = handover::ask_within(&self.node, record.address, question, content::PATIENCE);
        ntex::rt::spawn(async move {
            let content = match asking.await {
                Some(Answer::Content(content)) => Some(content),
                _ => None,
            };
            drop(answer.send(content));
        })
        .detach();
    }

    /// Says goodbye and hands on what is kept here; all of it has arrived when `done` hears of it.
    ///
    /// Failure: the process ends while its goodbye still waits in a queue. Symptom: the others go on to ask it, and
    /// where it was its zone's only entry nobody else can tell that it died. So the goodbye waits for acknowledgements.
    fn leave(&mut self, done: std::sync::mpsc::Sender<()>) {
        let parcels = self.keeper.drain(self.shared.now());
        let asking: Vec<handover::Asking> = parcels.iter().flat_map(|parcel| self.put(parcel)).collect();
        let mut actions = Vec::new();
        self.kernel.handle(self.shared.now(), Input::Leave, &mut actions);
        let mut goodbyes = Vec::new();
        for action in actions {
            if let Action::Send { to, bytes, .. } = action {
                goodbyes.push(handover::deliver(self.node.clone(), to, bytes));
            } else {
                self.act(action);
            }
        }
        ntex::rt::spawn(async move {
            futures_util::future::join(join_all(asking), join_all(goodbyes)).await;
            let _ = done.send(());
        })
        .detach();
    }

    fn arrived(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::Frame { from, bytes } => self.feed(Input::Received { from, bytes }),
            Incoming::Question { bytes, answer, .. } => {
                let said = self.answer(&bytes);
                drop(answer.send(said.encode()));
            }
        }
    }

    /// Answers another entry's question.
    fn answer(&mut self, question: &[u8]) -> Answer {
        // The pause is noticed first: a keeper that was away must not give away what it held.
        self.feed(Input::Tick);
        let now = self.shared.now();
        match Question::decode(question) {
            Ok(Question::Put(parcel)) => self.keeper.put(now, *parcel).into(),
            Ok(Question::Take { key, by }) => self.keeper.take(now, &key, &by).into(),
            Ok(Question::Finish(key)) => {
                self.keeper.finish(&key);
                Answer::Done
            }
            Ok(Question::Fetch { topic, key }) if topic == CONFIG => {
                self.content.get(&key).map_or(Answer::Missing, Answer::Content)
            }
            Ok(Question::Fetch { .. }) => Answer::Missing,
            Err(_) => Answer::Unknown,
        }
    }
}

/// Returns this life's number: the time of its start, which grows from one life to the next.
fn started() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
