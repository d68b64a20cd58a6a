//! Requests on their way: arrival, decision, engine, answer.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::Verdict;
use bergamotshift_route::Refusal;
use bergamotshift_route::request;

use super::Task;
use super::World;
use super::clock::Event;
use super::fleet;
use crate::engine::Job;
use crate::engine::Output;
use crate::engine::Work;
use crate::workload::Request;
use crate::workload::Service;
use crate::workload::draw_below;

/// How long a request waits when no endpoint may run it.
const RETRY: Duration = Duration::from_millis(200);
/// How long after the arrivals' end, or a deadline, a request without any endpoint is kept.
const GIVE_UP: Duration = Duration::from_mins(5);

impl World {
    pub(super) fn arrive(&mut self, now: Instant) {
        let Some(request) = self.arrivals.next() else { return };
        self.plan_arrival();
        let job = self.open_task(request);
        self.send(job, now);
    }

    pub(super) fn open_task(&mut self, request: Request) -> Job {
        let entry = draw_below(&mut self.rng, self.entries.len() as u64) as usize;
        self.tally.requests += 1;
        self.open += 1;
        self.tasks.push(Task {
            request,
            entry,
            received: 0,
            first: None,
            vm: None,
            flight: None,
            exclude: Vec::new(),
            epoch: 0,
            imported: false,
            suspect: false,
            accused: Instant::ZERO,
            ended: false,
        });
        (self.tasks.len() - 1) as Job
    }

    /// Decides where a job runs and sends it there.
    pub(super) fn send(&mut self, job: Job, now: Instant) {
        let task = &self.tasks[job as usize];
        if task.ended || task.vm.is_some() {
            return;
        }
        let verdict = self.quarantine_table.verdict(now, self.fingerprint(job));
        let refused = matches!(verdict, Verdict::Refused { .. });
        if refused || now.since(task.request.deadline) > GIVE_UP {
            self.fail(job);
            return;
        }
        let cleared = task.accused > Instant::ZERO && task.accused <= self.explained;
        let alone = verdict == Verdict::Alone && !cleared;
        match self.choose(job, alone, now) {
            Ok(()) => {}
            Err(Refusal::Deferred { .. }) => {
                let task = &self.tasks[job as usize];
                self.entries[task.entry].pending.insert((task.request.deadline, job));
            }
            Err(Refusal::NoEndpoint) => {
                self.tasks[job as usize].exclude.clear();
                self.agenda.add(now + RETRY, Event::Send { job });
            }
        }
    }

    /// Returns the content fingerprint: the poisonous request's sends share one.
    pub(super) fn fingerprint(&self, job: Job) -> Fingerprint {
        let poison = self.tasks[job as usize].request.poison;
        Fingerprint::new(if poison { u128::MAX } else { u128::from(job) })
    }

    fn choose(&mut self, job: Job, alone: bool, now: Instant) -> Result<(), Refusal> {
        let task = &mut self.tasks[job as usize];
        let entry = &mut self.entries[task.entry];
        let request = &task.request;
        let mut exclude = task.exclude.clone();
        if alone {
            // Two suspects on one endpoint would be accused together when one of them kills it.
            exclude.extend(self.suspects.iter().filter_map(|&vm| self.vms[vm].keys.get(task.entry)));
        }
        let context = request.prompt + task.received;
        let block_tokens = self.workload.block_tokens;
        self.prefix.clear();
        self.prefix.extend(request.chain.blocks(context, block_tokens));
        let service = entry.service(request.service);
        let ask = request::Request {
            now,
            service,
            urgency: request.urgency,
            first_token: request.first_token,
            between_tokens: request.between_tokens,
            deadline: request.deadline,
            prompt_tokens: context,
            answer_tokens: request.answer_expected.saturating_sub(task.received).max(1),
            prefix: &self.prefix,
            block_tokens,
            exclude: &exclude,
            ..request::Request::default()
        };
        let choice = self.policy.choose(&entry.view, &ask, &mut entry.rng)?;
        let vm = entry.vms.get(&choice.key).copied();
        let Some((vm, engine)) = vm.and_then(|vm| self.vms[vm].engine.as_mut().map(|engine| (vm, engine))) else {
            // The VM is gone and the view is old: the connection is refused, and nothing ran.
            task.exclude.push(choice.key);
            self.agenda.add(now + fleet::REFUSED, Event::Send { job });
            return Ok(());
        };
        task.flight = Some(entry.view.record_sent(&choice, &ask));
        task.vm = Some(vm);
        task.epoch += 1;
        if alone {
            self.suspects.insert(vm);
            task.suspect = true;
        }
        engine.add(Work {
            job,
            urgency: request.urgency,
            chain: request.chain,
            context,
            left: request.answer - task.received,
            imported: task.imported,
        });
        task.imported = false;
        self.run_engine(vm, now);
        Ok(())
    }

    /// Publishes an entry's view, then sends deferred work by deadline until some finds no room.
    pub(super) fn publish(&mut self, entry: usize, now: Instant) {
        self.entries[entry].publish(now);
        self.agenda.add(now + super::PUBLISH_EVERY, Event::Publish { entry });
        for _ in 0..self.site.deferred_sends {
            let Some((_, job)) = self.entries[entry].pending.pop_first() else {
                return;
            };
            let waiting = self.entries[entry].pending.len();
            self.send(job, now);
            if self.entries[entry].pending.len() > waiting {
                return;
            }
        }
    }

    pub(super) fn engine(&mut self, vm: usize, generation: u64, now: Instant) {
        let current = self.vms[vm]
            .engine
            .as_ref()
            .is_some_and(|engine| engine.generation == generation);
        if current {
            self.run_engine(vm, now);
        }
    }

    /// Moves an engine on, handles what came out, and plans its next change.
    pub(super) fn run_engine(&mut self, vm: usize, now: Instant) {
        let Some(engine) = self.vms[vm].engine.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        engine.run(now, &mut out);
        let generation = engine.generation;
        if let Some(at) = engine.next_change() {
            self.agenda.add(at, Event::Engine { vm, generation });
        }
        for output in out {
            match output {
                Output::Prefill { job, cached, context } => self.prefill(job, cached, context),
                Output::Token { job } => self.token(vm, job, now),
                Output::Done { job } => self.done(job, now),
            }
        }
    }

    /// Counts the prompt tokens that are computed, and those that were computed before.
    fn prefill(&mut self, job: Job, cached: u32, context: u32) {
        let task = &self.tasks[job as usize];
        let block_tokens = self.workload.block_tokens;
        let held = (cached / block_tokens) as usize;
        self.tally.prompt += u64::from(context);
        self.tally.cached += u64::from(cached);
        let request = &task.request;
        let planned_by_deadline = self.defers && request.urgency == Urgency::Deferrable;
        if request.service == Service::Model && !planned_by_deadline {
            let answer = request.answer_expected.saturating_sub(task.received).max(1);
            self.scaler.note(fleet::work(context - cached, answer));
        }
        let mut again = 0;
        for block in task.request.chain.blocks(context, block_tokens).skip(held) {
            again += u64::from(!self.computed.insert(block)) * u64::from(block_tokens);
        }
        if task.first.is_some() && cached < context {
            self.tally.moved += u64::from(context - cached);
        } else {
            self.tally.recomputed += again;
        }
    }

    fn token(&mut self, vm: usize, job: Job, now: Instant) {
        let task = &mut self.tasks[job as usize];
        task.first.get_or_insert(now);
        if task.request.poison {
            self.crash(vm, now);
        }
    }

    fn done(&mut self, job: Job, now: Instant) {
        let task = &mut self.tasks[job as usize];
        if task.ended || task.vm.is_none() {
            return;
        }
        task.ended = true;
        task.flight = None;
        let vm = task.vm.take();
        if let Some(vm) = vm.filter(|_| task.suspect) {
            self.suspects.remove(&vm);
        }
        let first = task.first.unwrap_or(now);
        self.tally.done(&task.request, first, now);
        // What an answer's blocks cost is not recomputation when a later turn finds them evicted, but from then on they
        // were computed once.
        let whole = task.request.prompt + task.request.answer;
        self.computed
            .extend(task.request.chain.blocks(whole, self.workload.block_tokens));
        self.open -= 1;
    }

    pub(super) fn fail(&mut self, job: Job) {
        let task = &mut self.tasks[job as usize];
        task.ended = true;
        task.flight = None;
        let request = task.request;
        self.open -= 1;
        // A refused poisonous request is the system's success, not a lost answer.
        if !request.poison {
            self.tally.lost(&request);
        }
    }
}
