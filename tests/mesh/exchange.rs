//! The HTTP client with answers that are truncated, malformed, late or duplicated.

use std::net::SocketAddr;

use aspenspring::mesh::http1::{Connection, ExchangeError, Reply, write_and_read};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::support::{memory, run};

const HEAD: &[u8] = b"GET / HTTP/1.1\r\nhost: t\r\n\r\n";

/// A server that sends the next of `answers` each time it has read something.
async fn serve(answers: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for answer in answers {
            let mut scratch = [0; 4096];
            if !matches!(stream.read(&mut scratch).await, Ok(read) if read > 0) {
                return;
            }
            stream.write_all(answer).await.unwrap();
        }
    });
    address
}

async fn exchange(connection: &mut Connection, id: &str) -> Result<Reply, ExchangeError> {
    connection
        .exchange(&Method::GET, HEAD, b"", |reply| reply.header("x-attempt") == Some(id))
        .await
}

async fn first(answer: &'static [u8]) -> Result<Reply, ExchangeError> {
    let address = serve(vec![answer]).await;
    let mut connection = Connection::open(address, &memory()).await.unwrap();
    exchange(&mut connection, "1").await
}

#[test]
fn complete_answers_of_each_framing_are_accepted() {
    run(async {
        let reply = first(b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\ncontent-length: 2\r\n\r\nok").await;
        let reply = reply.unwrap();
        assert_eq!((&reply.body[..], reply.is_reusable), (&b"ok"[..], true));
        let chunked = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\n\
                        2\r\nok\r\n1\r\n!\r\n0\r\nx-sum: 3\r\n\r\n";
        assert_eq!(&first(chunked).await.unwrap().body[..], b"ok!");
        let reply = first(b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\n\r\nto the end").await.unwrap();
        assert_eq!((&reply.body[..], reply.is_reusable), (&b"to the end"[..], false));
        let interim = b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\nx-attempt: 1\r\n\r\n";
        assert_eq!(first(interim).await.unwrap().status, 204);
    });
}

#[test]
fn truncated_or_malformed_answers_are_errors() {
    run(async {
        for answer in [
            &b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 9\r\n\r\nok"[..],
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\n",
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok",
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 99999999999\r\n\r\n",
            b"\x00\x01\x02 this is nothing\r\n\r\n",
        ] {
            let text = String::from_utf8_lossy(answer).into_owned();
            assert!(first(answer).await.is_err(), "accepted: {text}");
        }
    });
}

#[test]
fn a_late_duplicate_answer_is_skipped() {
    run(async {
        let address = serve(vec![
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 3\r\n\r\none",
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 3\r\n\r\none\
              HTTP/1.1 200 OK\r\nx-attempt: 2\r\ncontent-length: 3\r\n\r\ntwo",
        ])
        .await;
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        assert_eq!(&exchange(&mut connection, "1").await.unwrap().body[..], b"one");
        assert!(connection.is_usable());
        assert_eq!(&exchange(&mut connection, "2").await.unwrap().body[..], b"two");
    });
}

#[test]
fn a_connection_with_unsolicited_bytes_is_not_reused() {
    run(async {
        let address = serve(vec![
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n",
        ])
        .await;
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        exchange(&mut connection, "1").await.unwrap();
        assert!(!connection.is_usable());
    });
}

#[test]
fn a_connection_is_not_reused_after_its_keep_alive_timeout() {
    run(async {
        let address = serve(vec![
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nkeep-alive: timeout=0\r\ncontent-length: 0\r\n\r\n",
            b"",
        ])
        .await;
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        exchange(&mut connection, "1").await.unwrap();
        assert!(!connection.is_usable());
    });
}

/// Guards against the end of the process by a keep-alive timeout that no `Instant` can hold.
#[test]
fn a_keep_alive_timeout_of_any_length_is_accepted() {
    run(async {
        let address = serve(vec![
            b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nkeep-alive: timeout=18446744073709551615\r\n\
              content-length: 0\r\n\r\n",
            b"",
        ])
        .await;
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        exchange(&mut connection, "1").await.unwrap();
        assert!(connection.is_usable());
    });
}

#[test]
fn an_answer_before_the_whole_body_was_written_prevents_reuse() {
    run(async {
        let early = b"HTTP/1.1 400 X\r\nx-attempt: 1\r\ncontent-length: 0\r\n\r\n";
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(early).await.unwrap();
            // Reads nothing and keeps the connection open.
            std::future::pending::<()>().await;
        });
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        let body = vec![b'x'; 16 * 1024 * 1024];
        let accepts = |reply: &Reply| reply.header("x-attempt") == Some("1");
        let reply = connection.exchange(&Method::POST, HEAD, &body, accepts).await.unwrap();
        assert_eq!((reply.status, reply.is_reusable), (400, false));
    });
}

#[test]
fn a_partially_written_request_prevents_reuse() {
    run(async {
        let reply = || Reply { status: 400, headers: vec![], body: "".into(), is_reusable: true };
        let answer_later = async || {
            tokio::task::yield_now().await;
            Ok(reply())
        };
        let failed = async || Err(std::io::ErrorKind::BrokenPipe.into());
        let answered = write_and_read(failed(), answer_later()).await.unwrap();
        assert_eq!((answered.status, answered.is_reusable), (400, false));
        let answered = write_and_read(async { Ok(()) }, answer_later()).await.unwrap();
        assert!(answered.is_reusable);
    });
}

/// Guards against a head that is complete but not recognised, as it arrives in small parts.
#[test]
fn a_head_in_small_parts_is_read() {
    run(async {
        for part_bytes in [1, 7, 40] {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-pad: {}\r\ncontent-length: 2\r\n\r\nok",
                "a".repeat(900)
            );
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.set_nodelay(true).unwrap();
                for part in head.as_bytes().chunks(part_bytes) {
                    stream.write_all(part).await.unwrap();
                    tokio::task::yield_now().await;
                }
                std::future::pending::<()>().await;
            });
            let mut connection = Connection::open(address, &memory()).await.unwrap();
            assert_eq!(&exchange(&mut connection, "1").await.unwrap().body[..], b"ok");
        }
    });
}
