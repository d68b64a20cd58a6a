//! Sites: availability zones, machine classes with prices and speeds, and entries.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_route::estimate::Speed;

use crate::workload::Service;

/// VMs of one kind that the platform can give in one zone.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The service that they run.
    pub service: Service,
    /// The zone's number.
    pub zone: u8,
    /// The machine class's number.
    pub class: u8,
    /// The market.
    pub market: Market,
    /// What one costs per hour.
    pub price: Price,
    /// How fast its engine is.
    pub speed: Speed,
    /// Blocks that its prefix cache holds.
    pub cache_blocks: usize,
    /// How many there are.
    pub count: u32,
}

impl Offer {
    /// Returns how much work one does, as a share of the reference engine.
    pub fn power(&self) -> f64 {
        f64::from(Speed::REFERENCE.prompt_token_nanos) / f64::from(self.speed.prompt_token_nanos.max(1))
    }

    /// Returns the price of one reference engine's work per hour, in millionths.
    pub fn price_of_work(&self) -> f64 {
        self.price.as_micros() as f64 / self.power()
    }
}

/// How many VMs a site holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// The replay's capacity loop starts and stops VMs.
    Elastic,
    /// All offered VMs are held all the time.
    Fixed,
}

/// A site.
#[derive(Clone, Debug)]
pub struct Site {
    /// How many zones it has.
    pub zones: u8,
    /// What the platform offers.
    pub offers: Vec<Offer>,
    /// How many entries the replay runs.
    pub entries: u32,
    /// Deferred jobs that an entry sends at most with one publication of its view.
    pub deferred_sends: usize,
    /// How VMs are held.
    pub holding: Holding,
    /// How long a VM takes from its order to its first request.
    pub start: Duration,
    /// How long before its end a VM's notice comes.
    pub notice: Duration,
    /// Reclaims expected per hour of a reclaimable VM, in thousandths.
    pub reclaims_per_mille_hour: u32,
}

const UNIT: u64 = 1_000_000;

/// Eight accelerators of the class for models.
const LARGE: Speed = Speed::REFERENCE;

/// Half as fast, for somewhat less than half the price.
const SMALL: Speed = Speed {
    step_nanos: 24_000_000,
    sequence_nanos: 500_000,
    prompt_token_nanos: 100_000,
    chunk_tokens: 256,
    slots: 64,
};

/// A small machine for a plain service.
const PLAIN: Speed = Speed {
    step_nanos: 8_000_000,
    sequence_nanos: 500_000,
    prompt_token_nanos: 50_000,
    chunk_tokens: 512,
    slots: 64,
};

/// What a zone's prices are against the list, in hundredths.
const ZONE_PRICES: [u64; 5] = [100, 90, 115, 130, 105];

const BASE: Offer = Offer {
    service: Service::Model,
    zone: 0,
    class: 0,
    market: Market::Reclaimable,
    price: Price::from_micros(8 * UNIT),
    speed: LARGE,
    cache_blocks: 2_000,
    count: 2,
};

/// A site of today: four zones, about 12 workers held at the peak, eight entries.
pub fn today() -> Site {
    let offers = [
        BASE,
        Offer {
            market: Market::OnDemand,
            price: Price::from_micros(20 * UNIT),
            ..BASE
        },
        Offer {
            class: 1,
            price: Price::from_micros(3_600_000),
            speed: SMALL,
            cache_blocks: 1_000,
            count: 3,
            ..BASE
        },
        Offer {
            service: Service::Plain,
            class: 2,
            price: Price::from_micros(100_000),
            speed: PLAIN,
            cache_blocks: 0,
            count: 1,
            ..BASE
        },
    ];
    Site {
        zones: 4,
        offers: in_zones(4, &offers),
        entries: 8,
        deferred_sends: 4,
        holding: Holding::Elastic,
        start: Duration::from_secs(90),
        notice: Duration::from_secs(20),
        reclaims_per_mille_hour: 50,
    }
}

/// The target size: 600 workers of eight accelerators in five zones, of which 57 in 100 can be reclaimed.
pub fn target_size() -> Site {
    let reclaimable = Offer { count: 68, ..BASE };
    let on_demand = Offer {
        market: Market::OnDemand,
        price: Price::from_micros(20 * UNIT),
        count: 52,
        ..BASE
    };
    Site {
        zones: 5,
        offers: in_zones(5, &[reclaimable, on_demand]),
        // Each of the eight stands for 49 of the 390 entries.
        deferred_sends: 4 * 49,
        holding: Holding::Fixed,
        ..today()
    }
}

fn in_zones(zones: u8, offers: &[Offer]) -> Vec<Offer> {
    let priced = |zone: u8, offer: &Offer| Offer {
        zone,
        price: Price::from_micros(offer.price.as_micros() * ZONE_PRICES[usize::from(zone)] / 100),
        ..*offer
    };
    (0..zones)
        .flat_map(|zone| offers.iter().map(move |offer| priced(zone, offer)))
        .collect()
}
