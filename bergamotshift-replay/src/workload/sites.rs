//! The workloads of the two sites and of the target size.
//!
//! A day and a night are compressed into half an hour, with the deadlines of deferrable work compressed alike.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Mix;
use super::Service;
use super::Workload;

const BLOCK_TOKENS: u32 = 256;
const FIRST_TOKEN: Duration = Duration::from_secs(2);
const PLAIN_ANSWER: Duration = Duration::from_millis(300);
/// A few large organisations and some small ones.
const SHARES: [f64; 5] = [0.4, 0.3, 0.15, 0.1, 0.05];

const CHAT: Mix = Mix {
    service: Service::Model,
    urgency: Urgency::Urgent,
    rate: 1.0,
    turns: 3,
    pause: Duration::from_secs(20),
    templates: 12,
    template_blocks: 8,
    prompt: (200, 1_400),
    answer: (150, 750),
    first_token: FIRST_TOKEN,
    deadline: Duration::from_mins(2),
};

const PLAIN: Mix = Mix {
    service: Service::Plain,
    urgency: Urgency::Urgent,
    rate: 10.0,
    turns: 1,
    pause: Duration::ZERO,
    templates: 1,
    template_blocks: 0,
    prompt: (1, 1),
    answer: (1, 1),
    first_token: PLAIN_ANSWER,
    deadline: Duration::from_secs(10),
};

/// Oranjehal's Friday: roster drafts in sessions, contract merges, shift plans that may wait, and shift confirmations.
pub fn oranjehal_day() -> Workload {
    let drafts = Mix { rate: 3.0, ..CHAT };
    let merges = Mix {
        urgency: Urgency::Normal,
        rate: 3.0,
        turns: 1,
        prompt: (1_500, 4_500),
        answer: (400, 1_000),
        first_token: Duration::from_secs(10),
        deadline: Duration::from_mins(5),
        ..CHAT
    };
    let plans = Mix {
        urgency: Urgency::Deferrable,
        rate: 3.0,
        turns: 1,
        templates: 4,
        template_blocks: 16,
        prompt: (500, 2_000),
        answer: (400, 1_000),
        first_token: Duration::from_mins(10),
        deadline: Duration::from_mins(20),
        ..CHAT
    };
    Workload {
        mixes: vec![drafts, merges, plans, PLAIN],
        organisations: SHARES.to_vec(),
        shape: vec![0.5, 0.8, 1.0, 1.6, 1.7, 1.0, 0.6],
        span: Duration::from_mins(30),
        block_tokens: BLOCK_TOKENS,
    }
}

/// Mapa Limpio's night: map rebuilds that may wait, technicians' chats and status checks at once.
pub fn mapa_night() -> Workload {
    let rebuilds = Mix {
        urgency: Urgency::Deferrable,
        rate: 9.0,
        turns: 1,
        templates: 6,
        template_blocks: 12,
        prompt: (1_000, 3_000),
        answer: (400, 1_200),
        first_token: Duration::from_mins(10),
        deadline: Duration::from_mins(20),
        ..CHAT
    };
    let chats = Mix {
        rate: 1.5,
        answer: (80, 300),
        ..CHAT
    };
    Workload {
        mixes: vec![rebuilds, chats, PLAIN],
        organisations: SHARES.to_vec(),
        shape: vec![1.6, 1.8, 1.0, 0.6, 0.4, 0.5, 0.8],
        span: Duration::from_mins(30),
        block_tokens: BLOCK_TOKENS,
    }
}

/// The target size: 2,400 requests and 1.2 million tokens a second, over a short span.
pub fn target_size() -> Workload {
    let chats = Mix {
        rate: 1_500.0,
        turns: 1,
        templates: 200,
        answer: (300, 700),
        ..CHAT
    };
    let merges = Mix {
        urgency: Urgency::Normal,
        rate: 600.0,
        first_token: Duration::from_secs(10),
        deadline: Duration::from_mins(5),
        ..chats
    };
    let plans = Mix {
        urgency: Urgency::Deferrable,
        rate: 300.0,
        first_token: Duration::from_mins(10),
        deadline: Duration::from_mins(20),
        ..chats
    };
    Workload {
        mixes: vec![chats, merges, plans],
        organisations: vec![0.02; 50],
        shape: vec![1.0, 1.0],
        span: Duration::from_secs(90),
        block_tokens: BLOCK_TOKENS,
    }
}
