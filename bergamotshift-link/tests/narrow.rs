//! Answers over a slow link that take longer than the timeout.

mod support;

use core::net::SocketAddr;
use core::time::Duration;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use bergamotshift_link::node::Error;
use bergamotshift_link::node::Incoming;
use support::Authority;
use support::bind;

/// Timeout for a question, much shorter than the transfer of its answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Length of the answer in bytes.
const ANSWER_LENGTH: usize = 2_000_000;

/// Delay of each datagram of the answer, which limits the link to about one megabyte per second.
const DATAGRAM_DELAY: Duration = Duration::from_micros(1_200);

/// Starts a slow UDP proxy to a node and returns its address.
fn slow_proxy(to: SocketAddr) -> SocketAddr {
    let near = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    let far = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    far.connect(to).unwrap();
    let address = near.local_addr().unwrap();
    let asker = Arc::new(Mutex::new(None));
    let (back, from, to_asker) = (Arc::clone(&near), Arc::clone(&far), Arc::clone(&asker));
    thread::spawn(move || {
        let mut datagram = vec![0; 65_536];
        while let Ok((length, from)) = near.recv_from(&mut datagram) {
            *asker.lock().unwrap() = Some(from);
            // Sending fails once the node has ended.
            let _ = far.send(&datagram[..length]);
        }
    });
    thread::spawn(move || {
        let mut datagram = vec![0; 65_536];
        while let Ok(length) = from.recv(&mut datagram) {
            thread::sleep(DATAGRAM_DELAY);
            if let Some(asker) = *to_asker.lock().unwrap() {
                let _ = back.send_to(&datagram[..length], asker);
            }
        }
    });
    address
}

/// An entry on a slow link must not keep an old configuration because the new content takes longer than the timeout.
///
/// A fixed timeout would abort the transfer and start it again from the beginning each time. The timeout is extended
/// while the answer makes progress; a silent peer still fails after one timeout.
#[tokio::test]
async fn a_long_answer_that_keeps_moving_arrives() {
    let authority = Authority::new();
    let (asker, _frames) = bind(&authority.issue(&authority));
    let (answerer, mut questions) = bind(&authority.issue(&authority));
    let to = slow_proxy(answerer.address().unwrap());
    let answering = async {
        let mut silent = None;
        while let Some(Incoming::Question { bytes, answer, .. }) = questions.recv().await {
            if bytes == b"content" {
                answer.send(vec![9; ANSWER_LENGTH]).unwrap();
            } else {
                silent = Some(answer);
            }
        }
        drop(silent);
    };
    let asking = async {
        let answer = asker.ask(to, b"content", TIMEOUT).await.unwrap();
        assert_eq!(answer.len(), ANSWER_LENGTH);
        let error = asker.ask(to, b"silence", TIMEOUT).await.unwrap_err();
        assert!(matches!(error, Error::Timeout), "{error}");
    };
    tokio::select! {
        () = answering => unreachable!("the answerer never ends"),
        () = asking => {}
    }
}
