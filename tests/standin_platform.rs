//! Tests that the stand-ins of the platform and of the trace collector follow the protocols that
//! nodes rely on.

use std::net::SocketAddr;
use std::time::Duration;

use aspenspring::standin::platform::{start_objects, start_table};
use aspenspring::standin::{Server, client, collector};
use reqwest::Client;
use serde_json::{Value, json};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn http() -> Client {
    client::client(Duration::from_secs(5)).expect("a client")
}

fn row_url(server: &Server, key: &str) -> String {
    format!("{}/tables/aspenspring/rows/{key}", server.url())
}

async fn inject_fault(server: &Server, request: Value) {
    let sent = http().post(format!("{}/fault", server.url())).json(&request).send().await;
    assert_eq!(sent.expect("an answer").status(), 204);
}

#[tokio::test]
async fn rows_are_written_by_compare_and_set() {
    let table = start_table(ANY_PORT).expect("a table service");
    let http = http();
    let url = row_url(&table, "member:souq-stock:a.b_c-1");

    let created = http.put(&url).header("if-none-match", "*").json(&json!({"a": 1}));
    let created: Value = created.send().await.unwrap().json().await.unwrap();
    let version = created["version"].as_u64().expect("a version");

    let again = http.put(&url).header("if-none-match", "*").json(&json!({"a": 2}));
    let again = again.send().await.unwrap();
    assert_eq!(again.status(), 412);
    assert_eq!(again.json::<Value>().await.unwrap()["value"], json!({"a": 1}));

    let stale = http.put(&url).header("if-match", format!("\"{}\"", version + 9)).json(&json!(3));
    assert_eq!(stale.send().await.unwrap().status(), 412);
    let next = http.put(&url).header("if-match", format!("\"{version}\"")).json(&json!(3));
    assert_eq!(next.send().await.unwrap().status(), 200);

    let absent = http.put(row_url(&table, "none")).header("if-match", "\"1\"").json(&json!(3));
    let absent = absent.send().await.unwrap();
    assert_eq!(absent.status(), 412);
    assert_eq!(absent.json::<Value>().await.unwrap(), json!({}));
}

#[tokio::test]
async fn rows_are_listed_by_prefix_and_deleted() {
    let table = start_table(ANY_PORT).expect("a table service");
    let http = http();
    for key in ["member:a:1", "member:a:2", "member:b:1"] {
        let put = http.put(row_url(&table, key)).json(&json!(key)).send().await.unwrap();
        assert_eq!(put.status(), 200);
    }
    let scan = format!("{}/tables/aspenspring/rows", table.url());
    let scan = http.get(scan).query(&[("prefix", "member:a:")]).send().await.unwrap();
    let found: Value = scan.json().await.unwrap();
    let keys: Vec<&Value> = found["rows"].as_array().unwrap().iter().map(|r| &r["key"]).collect();
    assert_eq!(keys, [&json!("member:a:1"), &json!("member:a:2")]);

    let url = row_url(&table, "member:a:1");
    assert_eq!(http.delete(&url).send().await.unwrap().status(), 204);
    assert_eq!(http.get(&url).send().await.unwrap().status(), 404);
    assert_eq!(http.delete(&url).send().await.unwrap().status(), 404);

    let stats = http.get(format!("{}/stats", table.url())).send().await.unwrap();
    assert_eq!(stats.json::<Value>().await.unwrap(), json!({"reads": 2, "writes": 5}));
}

#[tokio::test]
async fn a_lost_answer_took_effect_and_a_service_that_is_down_did_nothing() {
    let table = start_table(ANY_PORT).expect("a table service");
    let http = http();

    inject_fault(&table, json!({"mode": "lose_answers"})).await;
    let lost = http.put(row_url(&table, "lost")).json(&json!(1)).send().await;
    assert!(lost.is_err(), "the connection closes without an answer: {lost:?}");
    assert_eq!(http.get(row_url(&table, "lost")).send().await.unwrap().status(), 200);

    inject_fault(&table, json!({"mode": "down"})).await;
    assert!(http.put(row_url(&table, "down")).json(&json!(1)).send().await.is_err());
    assert!(http.get(row_url(&table, "lost")).send().await.is_err());

    inject_fault(&table, json!({"mode": "up"})).await;
    assert_eq!(http.get(row_url(&table, "down")).send().await.unwrap().status(), 404);
}

#[tokio::test]
async fn if_none_match_creates_an_object_only_once() {
    let objects = start_objects(ANY_PORT).expect("an object store");
    let http = http();
    let url = format!("{}/objects/configuration-1", objects.url());
    let put = http.put(&url).header("if-none-match", "*").body("first");
    assert_eq!(put.send().await.unwrap().status(), 201);
    let again = http.put(&url).header("if-none-match", "*").body("second");
    assert_eq!(again.send().await.unwrap().status(), 412);
    let got = http.get(&url).send().await.unwrap();
    assert!(got.headers().contains_key("etag"));
    assert_eq!(got.bytes().await.unwrap(), "first");
    assert_eq!(http.delete(&url).send().await.unwrap().status(), 204);
    assert_eq!(http.get(&url).send().await.unwrap().status(), 404);
}

#[tokio::test]
async fn the_collector_lists_spans() {
    let collector = collector::start(ANY_PORT).expect("a collector");
    let span = json!({"traceId": "01", "spanId": "02", "name": "hop"});
    let export = json!({"resourceSpans": [{
        "resource": {"attributes": [{"key": "service.name"}]},
        "scopeSpans": [{"spans": [span]}],
    }]});
    let http = http();
    let sent = http.post(format!("{}/v1/traces", collector.url())).json(&export).send().await;
    assert_eq!(sent.unwrap().status(), 200);
    let got = http.get(format!("{}/spans", collector.url())).send().await.unwrap();
    let got: Value = got.json().await.unwrap();
    assert_eq!(got["spans"][0]["name"], "hop");
    assert_eq!(got["spans"][0]["resource"][0]["key"], "service.name");
}
