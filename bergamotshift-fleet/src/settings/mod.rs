//! Settings of the fleet kernel.

use core::net::SocketAddr;
use core::time::Duration;

/// Intervals, timeouts and traffic limits of an entry.
///
/// ```
/// use bergamotshift_fleet::settings::Settings;
///
/// let settings = Settings { seeds: vec!["127.0.0.1:7100".parse().unwrap()], ..Settings::default() };
/// assert_eq!(settings.fanout, 5);
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the entries that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two probes of members of the own zone.
    pub probe_interval: Duration,
    /// Delay after which an unanswered probe is repeated, directly and through other members.
    pub probe_retry_delay: Duration,
    /// Number of members that are asked to probe on behalf of this entry.
    pub indirect_probes: usize,
    /// Time in which a suspect can refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Interval between two probes of other zones by a speaker.
    pub zone_probe_interval: Duration,
    /// Consecutive failed probes after which a speaker reports a zone as lost.
    pub max_zone_probe_failures: u32,
    /// Time without any update about a zone after which the zone counts as lost.
    pub zone_silence_timeout: Duration,
    /// Time that an urgent update waits for others, so that a burst takes few datagrams.
    pub coalesce_delay: Duration,
    /// Number of members that an urgent update is sent to at once.
    pub fanout: usize,
    /// Number of times that a persistent update is piggybacked.
    pub persistent_sends: u8,
    /// Number of times that a load report or another transient value is piggybacked.
    pub transient_sends: u8,
    /// Maximum size of a probe or answer with its piggybacked items, in bytes.
    pub max_probe_bytes: usize,
    /// Maximum size of a probe or answer between zones, in bytes; lower, because a few speakers carry that traffic.
    pub max_cross_zone_probe_bytes: usize,
    /// Number of probes within the zone for each one that carries a digest.
    pub probes_per_digest: u32,
    /// Time after which a zone's speakers are chosen anew.
    pub rotation_interval: Duration,
    /// Load reports per second that all entries of a zone may publish together.
    pub loads_per_second: u32,
    /// Usage updates per second that all entries of a zone may publish together; updates for whole zones, of all zones
    /// together, get a third of that.
    pub usages_per_second: u32,
    /// Heartbeats and summaries per second that the whole fleet may publish.
    pub summaries_per_second: u32,
    /// Gap in this entry's own clock above which the entry counts as paused and drops its state.
    ///
    /// Must be shorter than the safety margin of any lease.
    pub pause_threshold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_retry_delay: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            zone_probe_interval: Duration::from_secs(2),
            max_zone_probe_failures: 3,
            zone_silence_timeout: Duration::from_secs(45),
            coalesce_delay: Duration::from_millis(20),
            fanout: 5,
            persistent_sends: 6,
            transient_sends: 3,
            max_probe_bytes: 560,
            max_cross_zone_probe_bytes: 320,
            probes_per_digest: 8,
            rotation_interval: Duration::from_mins(10),
            loads_per_second: 30,
            usages_per_second: 3,
            summaries_per_second: 9,
            pause_threshold: Duration::from_secs(2),
        }
    }
}
