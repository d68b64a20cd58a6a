//! What happens in a run, and when: drawn from a seed.

mod ending;
mod failure;
mod partition;
mod pause;
mod release;

use core::ops::Range;
use core::time::Duration;

use bergamotshift_metadata_standin::Fault;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::endpoint::Habit;
use crate::endpoint::Notice;
use crate::engine::PACES;
use crate::proxy::Cut;
use crate::proxy::Mode;
use crate::proxy::Way;
use crate::site::Limits;
use crate::site::SERVICES;
use crate::site::TEAMS;

/// How an endpoint takes another one's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// After how long the new one registers.
    pub joins: Duration,
    /// After how long the old one goes.
    pub goes: Duration,
    /// Whether the old one crashes, rather than leave in order.
    pub crashes: bool,
}

/// One thing that the soak does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Kills an entry.
    Kill(usize),
    /// Asks an entry to stop; it is started again once it has.
    Stop(usize),
    /// Starts an entry unless it runs.
    Start(usize),
    /// Freezes an entry.
    Freeze(usize),
    /// Lets an entry go on.
    Thaw(usize),
    /// Changes an entry's settings file and tells it so.
    Reload(usize),
    /// Sets what becomes of an entry's bytes to and from the store.
    Link(usize, Mode),
    /// Resets an entry's connections to the store.
    ResetLink(usize),
    /// Lets the store misbehave for a while: one call of so many and one meets the fault.
    Spell(Fault, Duration, u32),
    /// Lets the store forget its history.
    Forget,
    /// Copies the store's rows.
    Copy,
    /// Restores the store from the last copy; operators and endpoints write again after this time.
    Restore(Duration),
    /// Ends an endpoint at once; it registers anew under another name later.
    Crash(usize),
    /// Lets an endpoint leave in order, and another one come.
    Leave(usize),
    /// Sets how an endpoint answers.
    Habit(usize, Habit),
    /// Sets what an endpoint says of itself.
    Notice(usize, Notice),
    /// Sets what becomes of the bytes to and from an endpoint.
    Reach(usize, Mode),
    /// Resets all connections to an endpoint.
    ResetReach(usize),
    /// Cuts an entry off from all endpoints, or connects it again.
    CutOff(usize, Option<Cut>),
    /// Cuts the first entry's connections to the second one, or lets them pass again.
    Separate(usize, usize, Option<Cut>),
    /// Sets what becomes of the bytes of the other entries' connections to an entry.
    Approach(usize, Mode),
    /// Sets whether a model engine is slower than usual.
    Slow(usize, bool),
    /// Lets an organisation overload the model engines, or none.
    Overload(Option<usize>),
    /// Moves the moving route to another service.
    Move,
    /// Lets an endpoint stand still for a while, as a suspended process does.
    Pause(usize, Duration),
    /// Replaces an endpoint by one of a version.
    Replace(usize, u64, Handover),
    /// Ends the process of an endpoint and starts it again on its address at once.
    Restart(usize),
    /// Changes the limits of the route of schedules, and moves the moving route.
    Limit(Limits),
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The entries.
    pub entries: usize,
    /// The endpoints of each service.
    pub endpoints: usize,
    /// How long callers send, and things happen.
    pub span: Duration,
}

/// The steps of a run, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// When each step is due, and which it is.
    pub steps: Vec<(Duration, Step)>,
}

/// The mean time between two things that begin, in milliseconds; shorter than they last, so some overlap.
const GAP_MS: u64 = 1_400;

/// How long a thing lasts, in milliseconds: longer than a lease of the daemons at the most, shorter than a look at the
/// least.
const SPAN_MS: Range<u64> = 500..4_000;

/// How much later a delayed connection's bytes come, in milliseconds: up to a third of a caller's patience for an entry.
const DELAY_MS: Range<u64> = 20..320;

/// How much later the store does what it gave no answer to, in milliseconds: also after its sender has tried again.
const LATE_MS: Range<u64> = 200..1_700;

/// The mean time between two endpoints that begin to say something of themselves, in milliseconds.
const NOTICE_GAP_MS: u64 = 3_000;

/// How long they say so, in milliseconds: also longer than a window in which their requests are counted.
const NOTICE_MS: Range<u64> = 2_000..10_000;

/// Mean time between two times in which entries are cut off, in milliseconds.
const CUT_GAP_MS: u64 = 2_000;

/// How long they are, in milliseconds: longer than it takes until they pass their requests through others.
const CUT_MS: Range<u64> = 6_000..9_000;

/// Mean time between two services whose endpoints tolerate few rejections, in milliseconds.
const TOLERANCE_GAP_MS: u64 = 2_000;

/// How long they do, in milliseconds: longer than it takes until all entries know it.
const TOLERANCE_MS: Range<u64> = 5_000..9_000;

/// Mean time between two copies of the store that are restored, in milliseconds.
const RESTORE_GAP_MS: u64 = 5_000;

/// Age of a copy when it is restored, in milliseconds.
const COPY_AGE_MS: Range<u64> = 300..4_000;

/// Time after a restore until operators and endpoints write again, in milliseconds: at most a heartbeat.
const REWRITE_MS: Range<u64> = 50..1_200;

/// Mean time between the end of an engine's slow phase and the next one, in milliseconds: an engine is slow 15 % of the time.
const SLOW_GAP_MS: u64 = 3_400;

/// How long a slow phase lasts.
const SLOW_SPAN: Duration = Duration::from_millis(600);

/// Time from the end of an overload to the next one, in milliseconds: long enough for its queue to be worked off.
const OVERLOAD_GAP_MS: Range<u64> = 2_000..4_000;

/// How long an organisation overloads the engines, in milliseconds.
const OVERLOAD_MS: Range<u64> = 4_000..6_000;

/// Mean time between two engines that crash, in milliseconds.
const ENGINE_CRASH_GAP_MS: u64 = 8_000;

/// How long callers are left alone at the start.
const CALM: Duration = Duration::from_millis(1_500);

struct Draw {
    generator: Pcg64Mcg,
    size: Size,
    steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// Draws a plan; the same seed and size give the same one.
    pub fn draw(seed: u64, size: Size) -> Self {
        // The first numbers of neighbouring seeds are alike.
        let mut draw = Draw::new(seed, size, 1);
        let mut at = CALM;
        while at < size.span {
            draw.thing(at);
            at += Duration::from_millis(draw.below(2 * GAP_MS));
        }
        draw.steps.sort_by_key(|(at, _)| *at);
        Self { steps: draw.steps }
    }

    /// Draws restores of the store from copies, and adds them; the other steps stay as they are.
    #[must_use]
    pub fn with_restores(mut self, seed: u64, size: Size) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 3);
        let mut at = CALM + Duration::from_millis(draw.below(RESTORE_GAP_MS));
        while at < size.span {
            at = draw.restore(at);
            at += Duration::from_millis(draw.below(2 * RESTORE_GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Draws entries that are cut off from all endpoints, and adds them; the other steps stay as they are.
    #[must_use]
    pub fn with_cuts(mut self, seed: u64, size: Size) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 5);
        let mut at = CALM + Duration::from_millis(draw.below(CUT_GAP_MS));
        while at < size.span {
            at = draw.cut(at);
            at += Duration::from_millis(draw.below(2 * CUT_GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Draws services whose endpoints tolerate few rejections, and adds them; the other steps stay as they are.
    #[must_use]
    pub fn with_tolerances(mut self, seed: u64, size: Size) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 4);
        let mut at = CALM + Duration::from_millis(draw.below(TOLERANCE_GAP_MS));
        while at < size.span {
            at = draw.tolerance(at);
            at += Duration::from_millis(draw.below(2 * TOLERANCE_GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Draws slow phases and crashes of model engines and organisations that overload them, and adds them; the other steps
    /// stay as they are.
    #[must_use]
    pub fn with_hard_load(mut self, seed: u64, size: Size) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 6);
        draw.hard_load();
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Draws what endpoints say of themselves, and adds it; the other steps stay as they are.
    #[must_use]
    pub fn with_notices(mut self, seed: u64, size: Size) -> Self {
        // Other numbers than those of the steps before.
        let mut draw = Draw::new(seed, size, 2);
        let mut at = CALM;
        while at < size.span {
            draw.notice(at);
            at += Duration::from_millis(draw.below(2 * NOTICE_GAP_MS));
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}

impl Draw {
    /// Creates a draw that leaves out the first `skipped` numbers of the seed.
    fn new(seed: u64, size: Size, skipped: usize) -> Self {
        let mut generator = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        for _ in 0..skipped {
            generator.next_u64();
        }
        Self {
            generator,
            size,
            steps: Vec::new(),
        }
    }

    /// Draws a duration from a range in milliseconds.
    fn duration(&mut self, range: Range<u64>) -> Duration {
        let drawn = self.below(range.end - range.start);
        Duration::from_millis(range.start + drawn)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.generator.next_u64() % bound
    }

    fn within(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(range.start + self.below(range.end - range.start))
    }

    fn entry(&mut self) -> usize {
        self.below(self.size.entries as u64) as usize
    }

    fn endpoint(&mut self) -> usize {
        self.below((self.size.endpoints * SERVICES.len()) as u64) as usize
    }

    fn way(&mut self) -> Way {
        [Way::Forth, Way::Back, Way::Both][self.below(3) as usize]
    }

    fn mode(&mut self) -> Mode {
        match self.below(2) {
            0 => Mode::Delay(self.within(DELAY_MS)),
            _ => Mode::Hold(self.way()),
        }
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push((at, step));
    }

    /// Draws one thing that begins at a time, with its end.
    fn thing(&mut self, at: Duration) {
        const KINDS: u64 = 14;
        let span = self.within(SPAN_MS);
        let end = at + span;
        match self.below(KINDS) {
            0 => self.restart(at, end),
            1 => self.all(at, end),
            2 | 3 => {
                let entry = self.entry();
                self.push(at, Step::Stop(entry));
            }
            4 => {
                let entry = self.entry();
                self.push(at, Step::Freeze(entry));
                self.push(end, Step::Thaw(entry));
            }
            5 => {
                let entry = self.entry();
                self.push(at, Step::Reload(entry));
            }
            6 => {
                let (entry, mode) = (self.entry(), self.mode());
                self.push(at, Step::Link(entry, mode));
                self.push(end, Step::Link(entry, Mode::Pass));
            }
            7 => {
                let entry = self.entry();
                self.push(at, Step::ResetLink(entry));
                let endpoint = self.endpoint();
                self.push(at, Step::ResetReach(endpoint));
            }
            8 => {
                let late = self.within(LATE_MS);
                let faults = [
                    Fault::Status(503),
                    Fault::Status(429),
                    Fault::Lost,
                    Fault::Reset,
                    Fault::Late(late),
                ];
                let fault = faults[self.below(faults.len() as u64) as usize];
                let spared = self.below(3) as u32;
                self.push(at, Step::Spell(fault, span, spared));
            }
            9 => self.push(at, Step::Forget),
            10 => {
                let endpoint = self.endpoint();
                self.push(at, Step::Crash(endpoint));
            }
            11 => {
                let endpoint = self.endpoint();
                self.push(at, Step::Leave(endpoint));
            }
            12 => {
                let endpoint = self.endpoint();
                let habit = Habit::WRONG[self.below(Habit::WRONG.len() as u64) as usize];
                self.push(at, Step::Habit(endpoint, habit));
                self.push(end, Step::Habit(endpoint, Habit::Sound));
                let (endpoint, mode) = (self.endpoint(), self.mode());
                self.push(at, Step::Reach(endpoint, mode));
                self.push(end, Step::Reach(endpoint, Mode::Pass));
            }
            _ => self.push(at, Step::Move),
        }
    }

    /// Draws slow phases and crashes of model engines, and organisations that overload them.
    fn hard_load(&mut self) {
        let first = self.size.endpoints * SERVICES.len();
        for engine in first..first + PACES.len() {
            let mut at = Duration::from_millis(self.below(2 * SLOW_GAP_MS));
            while at < self.size.span {
                self.push(at, Step::Slow(engine, true));
                at += SLOW_SPAN;
                self.push(at, Step::Slow(engine, false));
                at += Duration::from_millis(self.below(2 * SLOW_GAP_MS));
            }
        }
        let mut at = self.within(OVERLOAD_GAP_MS);
        while at < self.size.span {
            let team = self.below(TEAMS.len() as u64) as usize;
            self.push(at, Step::Overload(Some(team)));
            at += self.within(OVERLOAD_MS);
            self.push(at, Step::Overload(None));
            at += self.within(OVERLOAD_GAP_MS);
        }
        let mut at = CALM + Duration::from_millis(self.below(2 * ENGINE_CRASH_GAP_MS));
        while at < self.size.span {
            let engine = first + self.below(PACES.len() as u64) as usize;
            self.push(at, Step::Crash(engine));
            at += Duration::from_millis(self.below(2 * ENGINE_CRASH_GAP_MS));
        }
    }

    /// Draws a copy of the store and its restore, and returns the time of the restore.
    fn restore(&mut self, at: Duration) -> Duration {
        let restored = at + self.duration(COPY_AGE_MS);
        let rewritten = self.duration(REWRITE_MS);
        self.steps.push((at, Step::Copy));
        self.steps.push((restored, Step::Restore(rewritten)));
        restored
    }

    /// Draws a quarter of the entries that are cut off from all endpoints for a while, and returns the end of that time.
    fn cut(&mut self, at: Duration) -> Duration {
        let cut = Cut::ALL[self.below(Cut::ALL.len() as u64) as usize];
        let first = self.entry();
        let end = at + self.within(CUT_MS);
        for number in 0..self.size.entries.div_ceil(4) {
            let entry = (first + number) % self.size.entries;
            self.push(at, Step::CutOff(entry, Some(cut)));
            self.push(end, Step::CutOff(entry, None));
        }
        end
    }

    /// Draws a service whose endpoints all tolerate few rejections for a while, and returns the end of that time.
    fn tolerance(&mut self, at: Duration) -> Duration {
        const REJECTIONS: Range<u64> = 2..12;
        let service = self.below(SERVICES.len() as u64) as usize;
        let rejections = (REJECTIONS.start + self.below(REJECTIONS.end - REJECTIONS.start)) as u32;
        let end = at + self.within(TOLERANCE_MS);
        for place in (service..self.size.endpoints * SERVICES.len()).step_by(SERVICES.len()) {
            self.push(at, Step::Notice(place, Notice::Tolerates(rejections)));
            self.push(end, Step::Notice(place, Notice::Quiet));
        }
        end
    }

    /// Draws what an endpoint says of itself from a time on. One that says that it leaves registers that at the end.
    fn notice(&mut self, at: Duration) {
        const PAUSE_MS: Range<u64> = 1_000..4_000;
        const RATES: Range<u64> = 0..180;
        let endpoint = self.endpoint();
        let end = at + self.within(NOTICE_MS);
        let notice = match self.below(3) {
            0 => Notice::Rate((RATES.start + self.below(RATES.end)) as u32),
            1 => Notice::Leaves,
            _ => Notice::Pause(self.within(PAUSE_MS)),
        };
        self.push(at, Step::Notice(endpoint, notice));
        if notice == Notice::Leaves {
            self.push(end, Step::Leave(endpoint));
        } else {
            self.push(end, Step::Notice(endpoint, Notice::Quiet));
        }
    }

    fn restart(&mut self, at: Duration, end: Duration) {
        let entry = self.entry();
        self.push(at, Step::Kill(entry));
        self.push(end, Step::Start(entry));
    }

    /// Kills all entries, just after a change of the document now and then.
    fn all(&mut self, at: Duration, end: Duration) {
        if self.below(2) == 0 {
            self.push(at, Step::Move);
        }
        for entry in 0..self.size.entries {
            self.push(at, Step::Kill(entry));
            self.push(end, Step::Start(entry));
        }
    }
}
