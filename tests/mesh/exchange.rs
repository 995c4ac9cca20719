//! The HTTP client with answers that are truncated, malformed, late or duplicated.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use aspenspring::mesh::http1::{Connection, ExchangeError, Reply, write_and_read};
use http::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::timeout;

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
        let reply = || Reply {
            status: 400,
            headers: vec![],
            body: "".into(),
            ended_with_connection: false,
            is_reusable: true,
        };
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

/// A server that sends `start`, and then `part` until the connection is closed. Also returns the
/// number of bytes sent.
async fn serve_without_end(
    start: &'static str,
    part: &'static str,
) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Rc::new(Cell::new(0));
    let counted = Rc::clone(&sent);
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let block = part.repeat(64 * 1024 / part.len());
        while stream.write_all(block.as_bytes()).await.is_ok() {
            counted.set(counted.get() + block.len());
        }
    });
    (address, sent)
}

/// Starts `count` exchanges at once whose answers have no end, until each has failed. `bytes_max` is
/// what a client may read, `held_max` what it may keep.
async fn expect_refused(
    count: usize,
    start: &'static str,
    part: &'static str,
    bytes_max: usize,
    held_max: usize,
) {
    /// Upper bound on what the kernel buffers for a connection.
    const SOCKET_BYTES: usize = 16 * 1024 * 1024;
    let memory = memory();
    let mut exchanges = JoinSet::new();
    let mut servers = Vec::new();
    for _ in 0..count {
        let (address, sent) = serve_without_end(start, part).await;
        let memory = memory.clone();
        exchanges.spawn_local(async move {
            let mut connection = Connection::open(address, &memory).await.unwrap();
            exchange(&mut connection, "1").await
        });
        servers.push(sent);
    }
    let mut held = 0;
    while !exchanges.is_empty() {
        held = held.max(memory.held_bytes());
        let Ok(ended) = timeout(Duration::from_millis(1), exchanges.join_next()).await else {
            continue;
        };
        let error = ended.unwrap().unwrap().unwrap_err();
        assert!(!matches!(error, ExchangeError::Broken(_)), "{start:?}: {error}");
    }
    for sent in servers {
        assert!(sent.get() <= bytes_max + SOCKET_BYTES, "{start:?}: {} bytes", sent.get());
    }
    assert!(held <= held_max, "{start:?}: {held} bytes held");
    assert_eq!(memory.held_bytes(), 0);
}

const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against an exchange that reads a chunk extension into memory without a limit.
#[test]
fn a_chunk_extension_without_an_end_is_refused() {
    run(expect_refused(
        8,
        "HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\n5;x=",
        "a",
        64 * 1024,
        1024 * 1024,
    ));
}

/// Guards against an exchange that skips interim answers until its deadline.
#[test]
fn interim_answers_without_an_end_are_refused() {
    run(expect_refused(8, "HTTP/1.1 102 P\r\n\r\n", "HTTP/1.1 102 P\r\n\r\n", 64 * 1024, 0));
}

/// Guards against an exchange that discards trailers until its deadline.
#[test]
fn trailers_without_an_end_are_refused() {
    let start = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    run(expect_refused(8, start, "x-a: b\r\n", 128 * 1024, 1024 * 1024));
}

/// Guards against a body of tiny chunks, of which each takes little memory but much time.
#[test]
fn tiny_chunks_without_an_end_are_refused() {
    run(expect_refused(8, CHUNKED, "1\r\na\r\n", 2 * 1024 * 1024, 8 * 1024 * 1024));
}

/// Guards against bodies that exceed the memory of the process together.
#[test]
fn bodies_without_an_end_stay_within_the_memory_together() {
    let held_max = 256 * 1024 * 1024 / 10 * 6;
    let length = 32 * 1024 * 1024;
    run(expect_refused(12, UNTIL_CLOSE, "a", length, held_max));
    let chunk = concat!("8\r\n", "abcdefgh", "\r\n");
    run(expect_refused(12, CHUNKED, chunk, length, held_max));
}

/// Guards against other requests that wait while answers without an end are read.
#[test]
fn other_exchanges_go_on_while_bodies_without_an_end_are_read() {
    run(async {
        let memory = memory();
        let mut endless = JoinSet::new();
        for _ in 0..8 {
            let (address, _) = serve_without_end(UNTIL_CLOSE, "a").await;
            let memory = memory.clone();
            endless.spawn_local(async move {
                let mut connection = Connection::open(address, &memory).await.unwrap();
                exchange(&mut connection, "1").await.unwrap_err();
            });
        }
        let mut completed = 0;
        while !endless.is_empty() {
            let answer = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 2\r\n\r\nok";
            tokio::select! {
                reply = first(answer) => {
                    reply.unwrap();
                    completed += 1;
                }
                Some(ended) = endless.join_next() => ended.unwrap(),
            }
        }
        assert!(completed >= 20, "{completed} other exchanges were completed meanwhile");
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

/// The length of an upload, which the buffers of a connection cannot hold.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;
/// What the target reads of an upload that it does not read to its end.
const PART_BYTES: usize = UPLOAD_BYTES / 3;

/// An answer that ends with the connection.
const UNTIL_CLOSE_ABC: &[u8] = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\n\r\nabc";

/// How a target ends a connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    Close,
    /// Closes its side, and reads until the peer closes the other one.
    HalfClose,
}

/// The result of an upload to a target that answers at once, reads `read_max` bytes as fast as it can, and ends the
/// connection.
async fn upload(answer: &'static [u8], read_max: usize, end: End) -> Result<Reply, ExchangeError> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(answer).unwrap();
        let mut scratch = vec![0; 64 * 1024];
        let mut left = read_max;
        while left > 0 {
            let part = left.min(scratch.len());
            match stream.read(&mut scratch[..part]) {
                Ok(read) if read > 0 => left -= read,
                // The peer has its answer.
                Ok(_) | Err(_) => return,
            }
        }
        match end {
            End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
            End::Close => {}
            End::HalfClose => {
                stream.shutdown(std::net::Shutdown::Write).unwrap();
                while stream.read(&mut scratch).is_ok_and(|read| read > 0) {}
            }
        }
    });
    let mut connection = Connection::open(address, &memory()).await.unwrap();
    let accepts = |reply: &Reply| reply.header("x-attempt") == Some("1");
    let body = vec![b'x'; UPLOAD_BYTES];
    let reply = connection.exchange(&Method::POST, HEAD, &body, accepts).await;
    drop(connection);
    target.join().unwrap();
    reply
}

/// Guards against an answer that counts as complete because only the write is told of a reset.
#[test]
fn an_answer_without_a_length_is_refused_if_the_request_cannot_be_written() {
    run(async {
        for round in 0..40 {
            let end = if round % 4 == 3 { End::Close } else { End::Reset };
            let reply = upload(UNTIL_CLOSE_ABC, PART_BYTES + round * 10_007, end).await;
            assert!(matches!(reply, Err(ExchangeError::Broken(_))), "{round}, {end:?}: {reply:?}");
        }
    });
}

#[test]
fn an_answer_to_an_upload_whose_end_is_known_is_accepted() {
    let with_length = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 3\r\n\r\nabc";
    run(async {
        for _ in 0..10 {
            for (answer, read_max, end) in [
                (&with_length[..], PART_BYTES, End::Reset),
                (UNTIL_CLOSE_ABC, UPLOAD_BYTES + HEAD.len(), End::Close),
                (UNTIL_CLOSE_ABC, PART_BYTES, End::HalfClose),
            ] {
                let reply = upload(answer, read_max, end).await.unwrap();
                assert_eq!((&reply.body[..], reply.is_reusable), (&b"abc"[..], false), "{end:?}");
            }
        }
    });
}

/// A chunked answer with this behind the head.
async fn first_chunked(rest: &[u8]) -> Result<Reply, ExchangeError> {
    first([CHUNKED.as_bytes(), rest].concat().leak()).await
}

/// Guards against the line of a chunk that has no size and counts as the last one.
#[test]
fn chunks_without_a_valid_size_are_refused() {
    run(async {
        let mut accepted = Vec::new();
        for line in [
            "",
            ";x=1",
            " ",
            "+5",
            "-5",
            "0x5",
            "5 5",
            " 5",
            "5 ",
            "5g",
            "5\r",
            "fffffffffffffffff",
            "5;",
            "5;;x",
            "5;=1",
            "5;x=",
            "5;x y",
            "5;x=\"a",
            "5;x=a\"b\"",
            "5;x\n",
            "5;x=\u{1}",
            "5;x=\u{e9}",
            "5;x=\"\n\"",
            "5;x=\"\\\n\"",
            "5,x",
            "5;x=\"a\"b",
        ] {
            for rest in [
                format!("{line}\r\nhello\r\n0\r\n\r\n"),
                format!("2\r\nok\r\n{line}\r\nhello\r\n0\r\n\r\n"),
                format!("2\r\nok\r\n{line}\r\n\r\n"),
            ] {
                if first_chunked(rest.as_bytes()).await.is_ok() {
                    accepted.push(rest);
                }
            }
        }
        assert!(accepted.is_empty(), "{accepted:?}");
        let quoted = "5;x=\"a;\\\"\u{e9}\t\"";
        for line in ["5", "005", "5;x", "5;x=1", "5;x=1;y", "5 ; x\t=\t1", "5;x=\"\"", quoted] {
            let rest = format!("{line}\r\nhello\r\n0\r\n\r\n");
            assert_eq!(&first_chunked(rest.as_bytes()).await.unwrap().body[..], b"hello", "{line}");
        }
    });
}

/// Guards against a message that goes on behind the last chunk with something else.
#[test]
fn trailers_that_are_no_fields_are_refused() {
    run(async {
        for trailer in
            ["garbage", "x y: 1", "x : 1", " x: 1", ": 1", "x: \u{1}", "x: 1\n", "HTTP/1.1 200 OK"]
        {
            let rest = format!("5\r\nhello\r\n0\r\nx-sum: 1\r\n{trailer}\r\n\r\n");
            assert!(first_chunked(rest.as_bytes()).await.is_err(), "{trailer:?}");
        }
        let rest = "5\r\nhello\r\n0\r\nx-sum:\r\nx-note: \t\u{e9} \r\n\r\n";
        assert_eq!(&first_chunked(rest.as_bytes()).await.unwrap().body[..], b"hello");
    });
}

/// Guards against a `Connection` header that is read without the others.
#[test]
fn a_connection_is_not_reused_after_any_announcement_of_its_end() {
    run(async {
        for fields in ["keep-alive\r\nconnection: close", "\u{e9}, close", "close\r\nconnection: a"]
        {
            let start = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 0";
            let answer = format!("{start}\r\nconnection: {fields}\r\n\r\n");
            assert!(!first(answer.leak().as_bytes()).await.unwrap().is_reusable, "{fields}");
        }
    });
}

/// Guards against the limit or the departure that a broken answer states.
#[test]
fn a_head_without_a_valid_length_is_not_evaluated() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 5, 6\r\n\r\nhello";
        let address = serve(vec![answer]).await;
        let mut connection = Connection::open(address, &memory()).await.unwrap();
        let accepts = |reply: &Reply| panic!("evaluated: {reply:?}");
        connection.exchange(&Method::GET, HEAD, b"", accepts).await.unwrap_err();
    });
}
