//! Reclaims and crashes.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_limit::quarantine::Verdict;
use bergamotshift_route::policy;
use bergamotshift_route::reclaim;
use bergamotshift_route::reclaim::Action;
use bergamotshift_route::reclaim::Notice;
use bergamotshift_route::reclaim::Stream;

use super::World;
use super::clock::Event;
use super::vm::State;
use crate::engine::Job;
use crate::engine::Work;
use crate::workload::Request;
use crate::workload::Service;

/// How long after a notice the entries have heard of it.
const HEARD: Duration = Duration::from_secs(1);
/// How long after a crash the entries have noticed it.
const NOTICED: Duration = Duration::from_millis(100);
/// How long the poisonous request's caller waits before it sends again.
const RESEND: Duration = Duration::from_secs(15);

impl World {
    /// Gives notice to all VMs of a zone, which takes no starts from now on.
    pub(super) fn reclaim_zone(&mut self, zone: u8, now: Instant) {
        self.closed_zones.push(zone);
        for vm in 0..self.vms.len() {
            let held = self.vms[vm].offer.zone == zone && self.vms[vm].state != State::Off;
            if held {
                let life = self.vms[vm].life;
                self.vms[vm].state = State::Leaving;
                self.agenda.add(now + HEARD, Event::Learn { vm, life });
                self.agenda.add(now + self.site.notice, Event::Cut { vm, life });
            }
        }
        self.agenda.add(now + HEARD, Event::Plan { zone });
    }

    pub(super) fn learn(&mut self, vm: usize, life: u64, now: Instant) {
        if self.vms[vm].life == life {
            self.mark_leaving(vm, now);
        }
    }

    /// Plans the streams of all endpoints that leave together.
    ///
    /// Baselines have no plan: their streams run until the cut and are resumed then.
    pub(super) fn plan_zone(&mut self, zone: u8, now: Instant) {
        if self.scenario.policy != policy::DEFAULT || !self.scenario.plan_reclaims {
            return;
        }
        let leaving: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.vms[vm].offer.zone == zone && self.vms[vm].state == State::Leaving)
            .collect();
        let mut streams = Vec::new();
        for (endpoint, &vm) in leaving.iter().enumerate() {
            self.run_engine(vm, now);
            streams.extend(self.streams(endpoint, vm));
        }
        let notice = Notice {
            remaining: self.site.notice.saturating_sub(HEARD),
            ..Notice::default()
        };
        for step in reclaim::plan(&notice, &streams) {
            let job = step.id as Job;
            let epoch = self.tasks[job as usize].epoch;
            let action = step.action;
            self.agenda.add(now + step.after, Event::Step { job, epoch, action });
        }
    }

    fn streams(&self, endpoint: usize, vm: usize) -> Vec<Stream> {
        let Some(engine) = self.vms[vm].engine.as_ref() else {
            return Vec::new();
        };
        let between_tokens = Duration::from_micros(engine.step_micros());
        let stream = |(work, generated): (Work, u32)| {
            let request = &self.tasks[work.job as usize].request;
            let received = received(request, &work, generated);
            Stream {
                id: u64::from(work.job),
                endpoint,
                urgency: request.urgency,
                prompt_tokens: request.prompt,
                received,
                // The plan knows the answer's length no better than the service's rules do.
                tokens_left: request.answer_expected.saturating_sub(received).max(1),
                between_tokens,
                movable: request.service == Service::Model && received > 0,
                ..Stream::default()
            }
        };
        engine.jobs().into_iter().map(stream).collect()
    }

    pub(super) fn step(&mut self, job: Job, epoch: u32, action: Action, now: Instant) {
        let task = &self.tasks[job as usize];
        let Some(vm) = task.vm.filter(|_| task.epoch == epoch && !task.ended) else {
            return;
        };
        if matches!(action, Action::Finish | Action::Stay) {
            return;
        }
        self.run_engine(vm, now);
        let Some((work, generated)) = self.vms[vm].engine.as_mut().and_then(|engine| engine.remove(job)) else {
            return;
        };
        let mut after = now;
        if action == Action::Move {
            let context = u64::from(work.context + generated);
            let notice = Notice::default();
            after =
                now + Duration::from_secs_f64(context as f64 * notice.token_bytes as f64 / notice.endpoint_link as f64);
            self.tally.moves += 1;
            self.tasks[job as usize].imported = true;
        }
        self.take_back(&work, generated);
        self.run_engine(vm, now);
        self.agenda.add(after, Event::Send { job });
    }

    /// Takes a job off its endpoint, keeping the tokens received.
    fn take_back(&mut self, work: &Work, generated: u32) {
        let task = &mut self.tasks[work.job as usize];
        // The last token ends an answer, so an answer that is not ended lacks at least one.
        task.received = received(&task.request, work, generated).min(task.request.answer - 1);
        if let Some(vm) = task.vm.take().filter(|_| task.suspect) {
            self.suspects.remove(&vm);
        }
        task.suspect = false;
        task.flight = None;
    }

    /// A VM is gone: what it still ran is resumed elsewhere.
    pub(super) fn cut(&mut self, vm: usize, life: u64, announced: bool, now: Instant) {
        if self.vms[vm].life != life || self.vms[vm].state == State::Off {
            return;
        }
        self.run_engine(vm, now);
        let Some(engine) = self.release(vm, now) else { return };
        let jobs = engine.jobs();
        let running = jobs.iter().map(|(work, _)| self.fingerprint(work.job)).collect();
        let victim = Instance::new(name::Vm::new(format!("vm-{vm}")), Incarnation::new(life));
        self.quarantine.record_death(
            now,
            Death {
                instance: victim,
                announced,
                running,
            },
        );
        self.quarantine_table = self.quarantine.table();
        if !announced {
            self.judge(&jobs, now);
        }
        for (work, generated) in jobs {
            self.take_back(&work, generated);
            let job = work.job;
            self.agenda.add(now + NOTICED, Event::Send { job });
        }
    }

    /// Notes who ran where an endpoint crashed, and whether one of them is refused from now on.
    ///
    /// That one explains its crashes. Its companions would otherwise run one by one until they are forgotten, which
    /// takes minutes where an endpoint ran a hundred of them, and their callers' deadlines pass.
    fn judge(&mut self, jobs: &[(Work, u32)], now: Instant) {
        for (work, _) in jobs {
            self.tasks[work.job as usize].accused = now;
            let verdict = self.quarantine_table.verdict(now, self.fingerprint(work.job));
            if matches!(verdict, Verdict::Refused { .. }) {
                self.explained = now;
            }
        }
    }

    pub(super) fn crash(&mut self, vm: usize, now: Instant) {
        self.tally.crashes += 1;
        let life = self.vms[vm].life;
        self.cut(vm, life, false, now);
    }

    /// The poisonous request's caller sends it, and again when it hears nothing good.
    pub(super) fn poison(&mut self, sends_left: u32, now: Instant) {
        let request = Request {
            at: now,
            service: Service::Model,
            organisation: 0,
            urgency: Urgency::Urgent,
            prompt: 1_000,
            answer: 200,
            answer_expected: 200,
            chain: crate::workload::Chain {
                template: u64::MAX,
                template_blocks: 0,
                session: u64::MAX,
            },
            first_token: Duration::from_secs(2),
            between_tokens: crate::workload::BETWEEN_TOKENS,
            deadline: now + Duration::from_mins(2),
            poison: true,
        };
        let job = self.open_task(request);
        self.send(job, now);
        if sends_left > 1 {
            let sends_left = sends_left - 1;
            self.agenda.add(now + RESEND, Event::Poison { sends_left });
        }
    }
}

/// Returns how many tokens of its answer a request's caller has.
fn received(request: &Request, work: &Work, generated: u32) -> u32 {
    request.answer - (work.left - generated)
}
