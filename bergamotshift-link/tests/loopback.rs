//! Nodes over real sockets: delivery of messages and rejection of untrusted entries.

mod support;

use std::time::Duration;

use bergamotshift_fleet::kernel::Transport;
use bergamotshift_link::node::Error;
use bergamotshift_link::node::Incoming;
use support::Authority;
use support::bind;

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn datagrams_and_streams_arrive_both_ways_over_one_connection() {
    let authority = Authority::new();
    let (first, mut to_first) = bind(&authority.issue(&authority));
    let (second, mut to_second) = bind(&authority.issue(&authority));
    let (first_at, second_at) = (first.address().unwrap(), second.address().unwrap());

    for (transport, length) in [
        (Transport::Datagram, 300),
        (Transport::Stream, 40_000),
        (Transport::Datagram, 1_100),
    ] {
        first.send(second_at, transport, vec![7; length]);
        let Some(Incoming::Frame { from, bytes }) = to_second.recv().await else {
            panic!("a frame was expected");
        };
        assert_eq!((from, bytes), (first_at, vec![7; length]));
        second.send(from, transport, vec![8; length]);
        let Some(Incoming::Frame { from, bytes }) = to_first.recv().await else {
            panic!("a frame was expected");
        };
        assert_eq!((from, bytes), (second_at, vec![8; length]));
    }
    assert_eq!(first.traffic().connections, 1);
    assert_eq!(second.traffic().connections, 1);
}

#[tokio::test]
async fn a_question_is_answered_and_a_dropped_one_fails_immediately() {
    let authority = Authority::new();
    let (asker, _frames) = bind(&authority.issue(&authority));
    let (answerer, mut questions) = bind(&authority.issue(&authority));
    let to = answerer.address().unwrap();
    let answering = async {
        for _ in 0..2 {
            let Some(Incoming::Question { bytes, answer, .. }) = questions.recv().await else {
                panic!("a question was expected");
            };
            if bytes == b"answer" {
                answer.send(vec![9; 2_000_000]).unwrap();
            }
        }
    };
    let asking = async {
        let answer = asker.ask(to, b"answer", TIMEOUT).await.unwrap();
        assert_eq!(answer, vec![9; 2_000_000]);
        let error = asker.ask(to, b"drop", TIMEOUT).await.unwrap_err();
        assert!(matches!(error, Error::Read(_)), "{error}");
    };
    tokio::join!(answering, asking);
}

#[tokio::test]
async fn an_entry_without_a_valid_certificate_sends_and_learns_nothing() {
    // A stranger has a certificate of another authority. In the first case it trusts the fleet's authority, in the
    // second it does not. Its frames and questions must not arrive, and it must not receive anything when an entry of
    // the fleet connects to it by mistake.
    let authority = Authority::new();
    let other = Authority::new();
    for trusted in [&authority, &other] {
        let (stranger, mut to_stranger) = bind(&other.issue(trusted));
        let (entry, mut to_entry) = bind(&authority.issue(&authority));
        let address = entry.address().unwrap();

        stranger.send(address, Transport::Datagram, b"let me in".to_vec());
        let error = stranger.ask(address, b"who is there", TIMEOUT).await.unwrap_err();
        assert!(!matches!(error, Error::Timeout), "{error}");
        entry
            .ask(stranger.address().unwrap(), b"a secret", TIMEOUT)
            .await
            .unwrap_err();
        entry.send(stranger.address().unwrap(), Transport::Datagram, b"a secret".to_vec());

        // The frame of a trusted peer, sent last, must be the first message to arrive.
        let (peer, _frames) = bind(&authority.issue(&authority));
        peer.send(address, Transport::Datagram, b"hello".to_vec());
        let Some(Incoming::Frame { from, bytes }) = to_entry.recv().await else {
            panic!("a frame was expected");
        };
        assert_eq!((from, bytes), (peer.address().unwrap(), b"hello".to_vec()));
        stranger.close().await;
        drop(stranger);
        let received = to_stranger.try_recv().ok();
        assert!(received.is_none(), "the stranger received {received:?}");
    }
}

#[tokio::test]
async fn a_handshake_stays_within_the_bytes_that_fleet_tests_assume() {
    // The fleet tests in virtual time assume 7,200 bytes per handshake, sent and received together.
    const MAX_BYTES: u64 = 7_200;
    const IP_AND_UDP_HEADER_BYTES: u64 = 28;
    let authority = Authority::new();
    let (first, _frames) = bind(&authority.issue(&authority));
    let (second, mut to_second) = bind(&authority.issue(&authority));
    first.send(second.address().unwrap(), Transport::Datagram, vec![1; 10]);
    to_second.recv().await.unwrap();
    let traffic = first.traffic();
    let bytes = traffic.sent + traffic.received + traffic.datagrams * IP_AND_UDP_HEADER_BYTES;
    assert!(bytes <= MAX_BYTES, "{bytes} bytes in {} datagrams", traffic.datagrams);
}

#[tokio::test]
async fn a_peer_that_restarts_at_its_address_is_reached_again() {
    // The sender's connection to the old process is still open when a new one listens at the same address. Frames
    // on the dead connection are lost, as datagrams may be, until the sender notices and opens a new connection.
    let authority = Authority::new();
    let (sender, _frames) = bind(&authority.issue(&authority));
    let (old, mut to_old) = bind(&authority.issue(&authority));
    let address = old.address().unwrap();
    sender.send(address, Transport::Datagram, b"old".to_vec());
    to_old.recv().await.unwrap();
    old.close().await;
    drop((old, to_old));

    let settings = bergamotshift_link::node::Settings {
        listen: address,
        ..Default::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let identity = authority.issue(&authority);
    let (_new, mut to_new) = loop {
        // The old socket is released only when its last task ends.
        match bergamotshift_link::node::Node::bind(&settings, &identity, log.clone()) {
            Ok(bound) => break bound,
            Err(Error::Listen(_)) => tokio::task::yield_now().await,
            Err(error) => panic!("{error}"),
        }
    };
    let mut interval = tokio::time::interval(Duration::from_millis(10));
    let arrived = tokio::time::timeout(TIMEOUT, async {
        loop {
            tokio::select! {
                _ = interval.tick() => sender.send(address, Transport::Datagram, b"new".to_vec()),
                incoming = to_new.recv() => break incoming,
            }
        }
    });
    let Ok(Some(Incoming::Frame { bytes, .. })) = arrived.await else {
        panic!("the restarted peer was not reached");
    };
    assert_eq!(bytes, b"new");
}

#[test]
fn invalid_identities_are_rejected_with_a_reason() {
    use bergamotshift_link::identity::Identity;
    let error = Identity::from_pem(b"", b"nonsense", b"").unwrap_err();
    assert!(error.to_string().contains("private key"), "{error}");
}
