//! Finds the version at which a stream goes on, and records the one that began it.

use ntex::http::header;
use slog::info;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;
use super::job::Job;
use super::refusal::Reason;
use crate::document::Kind;
use crate::observe::Topic;
use crate::origins::Key;
use crate::origins::Sought;

/// Name in logs and metrics if nobody knows a stream's version.
const UNKNOWN: &str = "unknown";

impl Forwarder {
    /// Returns the version at which a stream that its caller takes up has to go on; `None` for any other request.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if the version is not known: what another one writes would not fit.
    pub(super) async fn find_origin(&self, job: &Job) -> Result<Option<SmolStr>, Reason> {
        let has_events = job.metadata.last_event.is_some_and(|last| last > 0) || job.metadata.resumes.is_some();
        if job.route.kind != Kind::Stream || !has_events {
            return Ok(None);
        }
        let attempt = job.metadata.resumes.as_ref();
        let key = attempt.map(|attempt| Key::new(&job.service, job.organisation.as_ref(), attempt));
        let origins = &self.shared.origins;
        let ask = async { self.origins.ask(key?).await };
        let sought = Sought {
            service: &job.service,
            key,
        };
        let now = self.shared.clock.now();
        let found = origins.find(now, sought, || self.may_have_moved(job), ask).await;
        let source = found.as_ref().map_or(UNKNOWN, |(_, source)| source.as_str());
        let version = found.map(|(version, _)| version);
        self.shared.metrics.count_origin(source);
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt) {
            let view = self.shared.view.load();
            let known = view
                .services
                .get(&job.service)
                .map(|service| service.versions.join(","));
            info!(logger, "stream taken up"; "request" => job.metadata.id.as_str(),
                "began_as" => attempt.map(SmolStr::as_str), "route" => job.route.name.as_str(),
                "last_event" => job.metadata.last_event, "version" => version.as_ref().map(SmolStr::as_str),
                "known_from" => source, "known_versions" => known, "current" => self.shared.origins.is_current(now),
                "document" => self.document_version(), "left_out" => left_out);
        }
        version.map(Some).ok_or(Reason::UnknownOrigin)
    }

    /// Returns whether another service than the one that is asked now may have begun a stream.
    fn may_have_moved(&self, job: &Job) -> bool {
        let view = self.shared.view.load();
        let host = job.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let path = job.path.split('?').next().unwrap_or_default();
        let attempt = job.metadata.resumes.as_ref();
        let attempt = attempt.map(|attempt| xxh3_64(attempt.as_bytes()));
        let now = self.shared.clock.now();
        view.may_have_moved(now, host.unwrap_or_default(), path, attempt, &job.service)
    }

    /// Records the version that sent a stream's first event, for a caller that takes the stream up.
    pub(super) fn record_origin(&self, job: &Job, version: &SmolStr) {
        if !job.route.resumable {
            return;
        }
        let key = Key::new(&job.service, job.organisation.as_ref(), &job.metadata.id);
        let is_told = self.shared.has_to_tell_origins(&job.service);
        let now = self.shared.clock.now();
        self.shared.origins.record(now, key, version.clone(), is_told);
    }

    /// Tells other entries which versions began streams here, until the process ends.
    pub async fn tell_origins(&self) {
        self.origins.tell().await;
    }
}
