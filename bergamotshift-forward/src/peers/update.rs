//! Transfer of the newest document from one entry to another that has an older version.
//!
//! Entries announce their versions in the states that they exchange several times a second. An entry that learns of a
//! newer version downloads the changes from one entry that has it, one download at a time. It does not give up a
//! download that keeps making progress.

use core::net::SocketAddr;
use core::time::Duration;
use std::borrow::Cow;
use std::rc::Rc;

use bergamotshift_core::throughput::Throughput;
use bytes::Bytes;
use futures_util::stream;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::SizedStream;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error as ThisError;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::message::Freshness;
use super::question::read_body;
use crate::control::Query;
use crate::document::Difference;
use crate::document::Document;
use crate::document::Mismatch;
use crate::document::Supplement;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;

/// Path of requests for an entry's document.
pub const PATH: &str = "/document";

/// Maximum number of entries to which an entry sends its document at the same time. Its callers use the same link.
/// Entries that have received the document pass it on, and entries that are turned away ask another one.
pub const MAX_UPLOADS: usize = 4;

/// Timeout for the sender of a document to accept the connection, to begin its response, and to deliver each further
/// [`MIN_PROGRESS_BYTES`]. The latency between zones is a few milliseconds, and the narrowest links carry that much in
/// 13 ms. When a sender is forty times as slow, another one is a better source.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Amount of a document that must arrive within each [`STALL_TIMEOUT`], in bytes.
const MIN_PROGRESS_BYTES: usize = 16 * 1_024;

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 64;

/// Size of the chunks in which a response is passed to a connection, in bytes.
const CHUNK_BYTES: usize = 16 * 1_024;

/// A request for the newest document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Question {
    /// The version that the requester has; 0 without one.
    version: u64,
}

/// The changes from the requester's document to the newest one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Update<'a> {
    /// The differences between the versions since the requester's.
    Steps(Vec<Cow<'a, Difference>>),
    /// The whole document.
    Whole(Cow<'a, Document>),
}

impl Update<'_> {
    /// Applies the update to this entry's document, and returns the newer document with the differences that led to it,
    /// if the update consists of them.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] when the update starts from another version, or contains no difference.
    pub fn apply(self, before: &Document) -> Result<(Document, Option<Vec<Difference>>), Mismatch> {
        let steps: Vec<Difference> = match self {
            Self::Whole(document) => return Ok((document.into_owned(), None)),
            Self::Steps(steps) => steps.into_iter().map(Cow::into_owned).collect(),
        };
        let mismatch = Mismatch {
            before: 0,
            version: before.version,
        };
        let (first, rest) = steps.split_first().ok_or(mismatch)?;
        let first = first.apply(before);
        let document = rest.iter().fold(first, |before, step| step.apply(&before?))?;
        Ok((document, Some(steps)))
    }
}

/// An update with the parts of the newest document that entries of earlier versions do not know.
#[derive(Debug)]
pub struct Transfer {
    update: Update<'static>,
    supplement: Supplement,
}

impl Transfer {
    /// Encodes an update to a document, for entries of this version and of earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the update cannot be encoded.
    pub fn encode(update: &Update<'_>, document: &Document) -> Result<Bytes, postcard::Error> {
        let encoded = postcard::to_stdvec(update)?;
        let encoded = postcard::to_extend(&Supplement::of(document), encoded)?;
        Ok(encoded.into())
    }

    /// Decodes an update from an entry of this version or an earlier one, which sends no supplement.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (update, rest) = postcard::take_from_bytes(bytes)?;
        let supplement = if rest.is_empty() {
            Supplement::default()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self { update, supplement })
    }

    /// Applies the update to this entry's document, as [`Update::apply`] does.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] when the update starts from another version, or contains no difference.
    pub fn apply(self, before: &Document) -> Result<(Document, Option<Vec<Difference>>), Mismatch> {
        let (mut document, steps) = self.update.apply(before)?;
        self.supplement.complete(&mut document);
        Ok((document, steps))
    }
}

/// An entry's response to a request for its document.
#[derive(Debug)]
pub enum Offer {
    /// The entry has no newer document.
    Nothing,
    /// The entry already sends its document to [`MAX_UPLOADS`] others.
    Busy,
    /// The entry sends the changes.
    Update {
        /// The freshness of its document.
        freshness: Option<Freshness>,
        /// The [`Transfer`], encoded.
        encoded: Bytes,
        /// The permit of the upload, held until it has been sent.
        permit: OwnedSemaphorePermit,
    },
}

/// Error of the download of a document.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The other entry already sends its document to [`MAX_UPLOADS`] others.
    #[error("the entry is sending its document to the maximum number of others")]
    Busy,
    /// The other entry no longer has a newer document.
    #[error("the entry has no newer document")]
    Nothing,
    /// The connection failed, or the other entry did not respond in time.
    #[error(transparent)]
    Exchange(#[from] Failure),
    /// The response is malformed.
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// A downloaded document.
#[derive(Debug)]
pub struct Download {
    /// The freshness of the sender's document when it began its response.
    pub freshness: Option<Freshness>,
    /// The changes.
    pub transfer: Transfer,
    /// The size of the response, in bytes.
    pub bytes: usize,
}

/// Downloads the changes since `version` from an entry.
///
/// A download that keeps making progress is never given up, because a restart of a long one would waste all that has
/// arrived.
///
/// # Errors
///
/// Returns [`Error`] when the other entry refuses, the connection fails or stalls, or the response is malformed.
pub async fn fetch(address: SocketAddr, version: u64) -> Result<Download, Error> {
    let question = postcard::to_stdvec(&Question { version })?;
    let mut connection = Connection::open(address, STALL_TIMEOUT).await?;
    let throughput = Throughput {
        bytes: MIN_PROGRESS_BYTES,
        within: STALL_TIMEOUT,
    };
    let answer = exchange::download(&mut connection, address, PATH, &question, throughput).await?;
    match answer.status {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Err(Error::Nothing),
        _ => return Err(Error::Busy),
    }
    let (freshness, update) = postcard::take_from_bytes(&answer.body)?;
    Ok(Download {
        freshness,
        transfer: Transfer::decode(update)?,
        bytes: answer.body.len(),
    })
}

/// Answers another entry's request for the newest document.
pub async fn answer_document(control: &mpsc::UnboundedSender<Query>, mut request: Request) -> Response {
    let question = match read_body::<Question>(&mut request, MAX_BODY_BYTES).await {
        Ok(question) => question,
        Err(status) => return Response::new(status),
    };
    let (reply, answer) = oneshot::channel();
    let version = question.version;
    if control.send(Query::Document { version, reply }).is_err() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    match answer.await {
        Ok(Offer::Update {
            freshness,
            encoded,
            permit,
        }) => response(freshness, &encoded, permit),
        Ok(Offer::Nothing) => Response::new(StatusCode::NO_CONTENT),
        Ok(Offer::Busy) | Err(_) => Response::new(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Creates a response that is sent in chunks as the connection accepts them, and releases the permit after the last
/// one.
fn response(freshness: Option<Freshness>, encoded: &Bytes, permit: OwnedSemaphorePermit) -> Response {
    let Ok(head) = postcard::to_stdvec(&freshness) else {
        return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let length = head.len() + encoded.len();
    let mut chunks = vec![ntex::util::Bytes::from(head)];
    chunks.extend(encoded.chunks(CHUNK_BYTES).map(ntex::util::Bytes::copy_from_slice));
    let chunks = chunks.into_iter().map(move |chunk| {
        let _permit = &permit;
        Ok::<_, Rc<dyn core::error::Error>>(chunk)
    });
    let body = SizedStream::new(length as u64, stream::iter(chunks));
    Response::build(StatusCode::OK).body(Body::from_message(body))
}
