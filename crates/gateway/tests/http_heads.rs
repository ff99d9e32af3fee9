//! Parsing of message heads; heads whose framing is ambiguous are rejected.

use bytes::BytesMut;
use gateway::http::{Framing, HeadError, request_head, response_head};
use test_case::test_case;

const LIMIT_BYTES: usize = 1_024;

fn request(text: &str) -> Result<Option<Framing>, HeadError> {
    let mut buf = BytesMut::from(text);
    request_head(&mut buf, LIMIT_BYTES).map(|head| head.map(|h| h.framing))
}

#[test_case("GET /a HTTP/1.1\r\nHost: h\r\n\r\n" => Ok(Some(Framing::Empty)); "no body")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n" => Ok(Some(Framing::Length(5))); "length")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n" => Ok(Some(Framing::Empty)); "length zero")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" => Ok(Some(Framing::Chunked)); "chunks")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: CHUNKED\r\n\r\n" => Ok(Some(Framing::Chunked)); "chunks in capitals")]
#[test_case("POST /a HTTP/1.1\r\nHost: h" => Ok(None); "incomplete")]
#[test_case("\r\n\r\nGET / HTTP/1.1\r\n\r\n" => Ok(Some(Framing::Empty)); "empty lines before")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" => Err(HeadError::Ambiguous); "length before chunks")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" => Err(HeadError::Ambiguous); "chunks before length")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n" => Err(HeadError::Ambiguous); "two lengths")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n" => Err(HeadError::Ambiguous); "a list of lengths")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n" => Err(HeadError::Ambiguous); "a signed length")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 0x5\r\n\r\n" => Err(HeadError::Ambiguous); "a hexadecimal length")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" => Err(HeadError::Ambiguous); "another coding")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n" => Err(HeadError::Ambiguous); "a coding that ends in chunked")]
#[test_case("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" => Err(HeadError::Ambiguous); "chunks in HTTP 1.0")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n" => Err(HeadError::Malformed); "space before a colon")]
#[test_case("POST /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n" => Err(HeadError::Malformed); "a folded field")]
#[test_case("nonsense\r\n\r\n" => Err(HeadError::Malformed); "no request line")]
fn requests(text: &str) -> Result<Option<Framing>, HeadError> {
    request(text)
}

#[test]
fn a_head_beyond_the_limit_is_rejected_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(2 * LIMIT_BYTES));
    assert_eq!(request(&text), Err(HeadError::TooLarge));
}

#[test]
fn bytes_after_a_head_stay_in_the_buffer() {
    let mut buf = BytesMut::from("GET /a HTTP/1.1\r\n\r\nGET /b");
    let head = request_head(&mut buf, LIMIT_BYTES).unwrap().unwrap();
    assert_eq!((head.target.as_str(), &buf[..]), ("/a", &b"GET /b"[..]));
}

#[test]
fn field_names_are_case_insensitive() {
    let mut buf = BytesMut::from("GET /a?q HTTP/1.1\r\nX-One:  1 \r\nx-one: 2\r\n\r\n");
    let head = request_head(&mut buf, LIMIT_BYTES).unwrap().unwrap();
    assert_eq!(head.fields.text("X-ONE"), Some("1"));
    assert_eq!(head.fields.count("x-one"), 2);
    assert_eq!(head.path(), "/a");
}

#[test]
fn hop_by_hop_fields_include_those_named_by_connection() {
    let mut buf = BytesMut::from("GET / HTTP/1.1\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n");
    let head = request_head(&mut buf, LIMIT_BYTES).unwrap().unwrap();
    assert!(head.fields.is_hop_by_hop("x-hop"));
    assert!(head.fields.is_hop_by_hop("Connection"));
    assert!(!head.fields.is_hop_by_hop("host"));
    assert!(!head.keeps_alive());
}

/// Guards against the status of one response with the fields of another, after the end of the first one
/// was lost.
#[test_case("HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\n"; "a refusal before an answer")]
#[test_case("HTTP/1.1 200 Some reason\r\nSignature: s\r\n\r\n", "HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n"; "an answer before a failure")]
#[test_case("HTTP/1.0 200 \r\nSignature:\r\n\r\n", "HTTP/1.0 500 \r\n\r\n"; "of an older version")]
fn the_start_of_a_head_and_a_whole_one_are_no_head(first: &str, second: &str) {
    for cut in 1..first.len() {
        let text = format!("{}{second}", &first[..cut]);
        let mut buf = BytesMut::from(text.as_str());
        let head = response_head(&mut buf, LIMIT_BYTES, "GET");
        assert_eq!(
            head.err(),
            Some(HeadError::Malformed),
            "cut at {cut}: {text:?}"
        );
    }
}

#[test_case("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nServer: HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "GET" => Ok(Some(Framing::Length(3))); "the name of the protocol in a field")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET" => Ok(Some(Framing::Length(3))); "length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "GET" => Ok(Some(Framing::Close)); "until the connection ends")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD" => Ok(Some(Framing::Empty)); "answer to HEAD")]
#[test_case("HTTP/1.1 204 No\r\nContent-Length: 3\r\n\r\n", "GET" => Ok(Some(Framing::Empty)); "status 204")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", "GET" => Err(HeadError::Ambiguous); "chunks and length")]
#[test_case("HTTP/1.1 000 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "status 000")]
#[test_case("HTTP/1.1 099 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "status 099")]
#[test_case("HTTP/1.1 101 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "a switch of protocols, which no request asks for")]
#[test_case("HTTP/1.1 103 X\r\n\r\n", "GET" => Ok(Some(Framing::Empty)); "an interim response")]
#[test_case("HTTP/1.1 599 X\r\n\r\n", "GET" => Ok(Some(Framing::Close)); "status 599")]
#[test_case("HTTP/1.1 600 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "status 600")]
#[test_case("HTTP/1.1 999 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "status 999")]
#[test_case("HTTP/1.1 2000 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "a status of four digits")]
#[test_case("HTTP/1.1 20 X\r\n\r\n", "GET" => Err(HeadError::Malformed); "a status of two digits")]
#[test_case("garbage\r\n\r\n", "GET" => Err(HeadError::Malformed); "garbage")]
fn responses(text: &str, method: &str) -> Result<Option<Framing>, HeadError> {
    let mut buf = BytesMut::from(text);
    let head = response_head(&mut buf, LIMIT_BYTES, method);
    head.map(|head| head.map(|h| h.framing))
}
