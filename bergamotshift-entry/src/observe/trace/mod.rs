//! Traces: a span for each hop of a request, sent over OTLP/HTTP.
//!
//! [`Traces`] is there only when an address for traces is set. A [`Trace`] belongs to one request and gives out a
//! [`Span`] for each [`Hop`]; without traces, or for a request that is not sampled, both are empty and cost one
//! branch. A caller's `traceparent` is continued, and each attempt passes its own on to its endpoint; without traces
//! the caller's passes through as it is.

mod carrier;
mod client;

use core::fmt;
use core::fmt::Display;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;
use std::time::SystemTime;

use bergamotshift_core::attempt;
use ntex::http::HeaderMap;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanBuilder;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::ExporterBuildError;
use opentelemetry_otlp::RetryPolicy;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace as sdk;
use thiserror::Error as ThisError;

use self::carrier::Carrier;
use self::carrier::Headers;
use self::client::Client;
use crate::settings::Settings;
use crate::settings::traces;

/// How long the end of an entry waits for the last spans to be sent.
const FLUSH: Duration = Duration::from_secs(2);

/// Why traces cannot be sent.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The exporter cannot be made.
    #[error("cannot make the exporter of traces: {0}")]
    Exporter(#[from] ExporterBuildError),
    /// The thread that sends them cannot be started.
    #[error("cannot start the thread that sends traces: {0}")]
    Thread(#[source] std::io::Error),
}

/// A hop of a request through the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From the request's head until it is let in: authentication, its body, limits.
    Admission,
    /// Waiting for an endpoint.
    Queue,
    /// Claiming a request that may not run twice.
    Claim,
    /// One attempt at an endpoint, until its answer has ended.
    Attempt,
    /// Moving a request that is under way to another endpoint or entry.
    Handover,
}

impl Hop {
    /// Returns the name of the hop's spans.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Queue => "queue",
            Self::Claim => "claim",
            Self::Attempt => "attempt",
            Self::Handover => "handover",
        }
    }

    const fn kind(self) -> SpanKind {
        match self {
            Self::Attempt => SpanKind::Client,
            Self::Admission | Self::Queue | Self::Claim | Self::Handover => SpanKind::Internal,
        }
    }
}

/// Makes the traces of one entry and sends them.
#[derive(Debug)]
pub struct Traces {
    provider: sdk::SdkTracerProvider,
    tracer: sdk::SdkTracer,
}

impl Traces {
    /// Starts to send spans to a collector; one that cannot be reached costs spans, never a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter or its thread cannot be made.
    pub fn start(settings: &traces::Settings, entry: &Settings) -> Result<Self, Error> {
        let client = Client::start(settings.timeout, entry.logger.clone()).map_err(Error::Thread)?;
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(client)
            .with_endpoint(format!("http://{}/v1/traces", settings.address))
            .with_timeout(settings.timeout)
            .with_retry_policy(RetryPolicy::default().with_max_retries(1))
            .build()?;
        let sampler = sdk::Sampler::TraceIdRatioBased(settings.ratio);
        let provider = sdk::SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(sdk::Sampler::ParentBased(Box::new(sampler)))
            .with_resource(resource(entry))
            .build();
        let tracer = provider.tracer("bergamotshift");
        Ok(Self { provider, tracer })
    }

    /// Begins the trace of a request, or goes on with the one that its headers name.
    pub fn begin(&self, headers: &HeaderMap, id: attempt::Id) -> Trace {
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(headers));
        let started = SystemTime::now();
        let builder = SpanBuilder::from_name("request")
            .with_kind(SpanKind::Server)
            .with_start_time(started)
            .with_attributes([KeyValue::new("request.id", id.to_string())]);
        let span = self.tracer.build_with_context(builder, &parent);
        Trace(Some(Arc::new(Root {
            tracer: self.tracer.clone(),
            context: parent.with_span(span),
            started,
            admitted: AtomicBool::new(false),
        })))
    }

    /// Sends what has not been sent, for a bounded time, and ends.
    pub fn end(&self) {
        // What cannot be sent by then is lost; the exporter has logged why.
        drop(self.provider.shutdown_with_timeout(FLUSH));
    }
}

fn resource(entry: &Settings) -> Resource {
    Resource::builder_empty()
        .with_service_name("bergamotshift")
        .with_attributes([
            KeyValue::new("service.instance.id", entry.name.to_string()),
            KeyValue::new("cloud.availability_zone", entry.zone.to_string()),
        ])
        .build()
}

/// The trace of one request; its own span ends when the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct Trace(Option<Arc<Root>>);

struct Root {
    tracer: sdk::SdkTracer,
    context: Context,
    started: SystemTime,
    admitted: AtomicBool,
}

impl fmt::Debug for Root {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = self.context.span();
        f.debug_tuple("Root").field(span.span_context()).finish()
    }
}

impl Trace {
    /// Begins the span of a hop; it ends when it is dropped.
    pub fn span(&self, hop: Hop) -> Span {
        let Some(root) = &self.0 else { return Span(None) };
        let builder = SpanBuilder::from_name(hop.as_str()).with_kind(hop.kind());
        let span = root.tracer.build_with_context(builder, &root.context);
        Span(Some(Box::new(span)))
    }

    /// Notes that the request is let in or turned away, which ends its admission.
    pub fn admitted(&self) {
        let Some(root) = &self.0 else { return };
        if root.admitted.swap(true, Ordering::Relaxed) {
            return;
        }
        let builder = SpanBuilder::from_name(Hop::Admission.as_str())
            .with_kind(Hop::Admission.kind())
            .with_start_time(root.started);
        drop(root.tracer.build_with_context(builder, &root.context));
    }

    /// Notes something about the request as a whole.
    pub fn note(&self, key: &'static str, value: &dyn Display) {
        let Some(root) = &self.0 else { return };
        root.context.span().set_attribute(KeyValue::new(key, value.to_string()));
    }

    /// Notes that the request failed, and why.
    pub fn failed(&self, why: &dyn Display) {
        let Some(root) = &self.0 else { return };
        root.context.span().set_status(Status::error(why.to_string()));
    }
}

/// One hop of a traced request; it ends when it is dropped.
#[derive(Debug, Default)]
pub struct Span(Option<Box<sdk::Span>>);

impl Span {
    /// Notes something about the hop.
    pub fn note(&mut self, key: &'static str, value: &dyn Display) {
        use opentelemetry::trace::Span as _;

        if let Some(span) = &mut self.0 {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Notes that the hop failed, and why.
    pub fn failed(&mut self, why: &dyn Display) {
        use opentelemetry::trace::Span as _;

        if let Some(span) = &mut self.0 {
            span.set_status(Status::error(why.to_string()));
        }
    }

    /// Puts the span among the headers, in place of the caller's.
    pub fn pass_on(&self, headers: &mut HeaderMap) {
        use opentelemetry::trace::Span as _;

        let Some(span) = &self.0 else { return };
        let context = Context::new().with_remote_span_context(span.span_context().clone());
        TraceContextPropagator::new().inject_context(&context, &mut Carrier::new(headers));
    }
}
