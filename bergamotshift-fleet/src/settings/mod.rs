//! Settings of the fleet kernel.

use core::net::SocketAddr;
use core::time::Duration;

/// How often an entry probes, how long it waits and how much it says.
///
/// ```
/// use bergamotshift_fleet::settings::Settings;
///
/// let settings = Settings { seeds: vec!["127.0.0.1:7100".parse().unwrap()], ..Settings::default() };
/// assert_eq!(settings.fanout, 5);
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entries to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes of members of the own zone.
    pub probe_interval: Duration,
    /// Time after which a probe is repeated, directly and through others.
    pub probe_retry_delay: Duration,
    /// Members asked to probe in this entry's stead.
    pub relays: usize,
    /// Time in which a suspect may refute.
    pub suspicion: Duration,
    /// Time between two probes of other zones by a speaker.
    pub zone_probe_interval: Duration,
    /// Probes of a zone in a row that fail before a speaker calls it lost.
    pub cross_failures: u32,
    /// Time without any news of a zone after which it is lost.
    pub silence: Duration,
    /// Time that urgent news waits for more of its kind, so that a wave goes in few datagrams.
    pub coalesce: Duration,
    /// Members that urgent news is passed on to at once.
    pub fanout: usize,
    /// Times that lasting news is sent along with other traffic.
    pub sends_lasting: u8,
    /// Times that a load report or another passing figure is sent along.
    pub sends_passing: u8,
    /// Most bytes of news that go along with one probe or answer.
    pub budget: usize,
    /// The same between zones, where the few speakers bear the traffic.
    pub budget_far: usize,
    /// In-zone probes per digest.
    pub digest_every: u32,
    /// Time after which a speaker passes its duty on.
    pub rotation: Duration,
    /// Load reports per second that one zone may publish in all.
    pub loads_per_second: u32,
    /// Use publications per second that one zone may make in all, and a third as many for whole zones.
    pub uses_per_second: u32,
    /// Beats and summaries per second that the fleet may publish in all.
    pub summaries_per_second: u32,
    /// A gap in this entry's own clock from which on it counts as paused and drops what it held.
    ///
    /// It has to be shorter than any lease's margin.
    pub pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_retry_delay: Duration::from_millis(250),
            relays: 3,
            suspicion: Duration::from_secs(3),
            zone_probe_interval: Duration::from_secs(2),
            cross_failures: 3,
            silence: Duration::from_secs(45),
            coalesce: Duration::from_millis(20),
            fanout: 5,
            sends_lasting: 6,
            sends_passing: 3,
            budget: 560,
            budget_far: 320,
            digest_every: 8,
            rotation: Duration::from_mins(10),
            loads_per_second: 30,
            uses_per_second: 3,
            summaries_per_second: 9,
            pause: Duration::from_secs(2),
        }
    }
}
