//! Rollout decisions in virtual time.

mod director;
mod sim;
mod standing;
mod verdicts;
