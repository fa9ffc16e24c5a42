//! The lease on the API keys: when a proxy asks controllers, and when it accepts keys.

use rookpulley_protocol::{
    ControllerToProxy, ProxyToController, TableEntry, Verification, VerificationRequest,
};
use rookpulley_proxy_core::{
    Credentials, Effect, LocalResponse, ProxyStart, ProxyState, RouteRequest,
};
use rookpulley_routes::RouteTable;
use std::net::{Ipv4Addr, SocketAddrV4};

const REVOKE_MS: f64 = 5_000.0;
/// The lease ends earlier than `REVOKE_MS` by at most this.
const MAX_MARGIN_MS: f64 = 100.0;
const TICK_MS: f64 = 50.0;
const QUESTION_INTERVAL_MS: f64 = 1_000.0;
const ORIGIN_UNIX_MS: f64 = 1.7e12;
const CONTROLLER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const TENANTS: &str = r#""tenants":[{"name":"kaje80","apiKeys":["key-a"]}],"#;
const NO_TENANTS: &str = "";

/// A configuration with a keyed route `/` and a public route `/open/`.
fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"configVersion":{version},"services":[{{"name":"stamps"}}],{tenants}
        "hostnames":[{{"hostname":"post.example","pathRules":[
        {{"pathPrefix":"/","routeKind":"read_only","timeoutMs":900,"targetService":"stamps","maxAttempts":1}},
        {{"pathPrefix":"/open/","routeKind":"read_only","timeoutMs":900,"targetService":"stamps","maxAttempts":1,
        "publicAccess":true}}]}}]}}"#
    )
}

struct Proxy {
    state: ProxyState,
    now: f64,
    questions: Vec<(Ipv4Addr, VerificationRequest)>,
    log: Vec<String>,
}

impl Proxy {
    fn new(revoke_ms: Option<f64>) -> Self {
        let state = ProxyState::new(ProxyStart {
            name: "edge-1",
            zone: "quay",
            seeds: vec![CONTROLLER],
            retry_ratio: 0.2,
            retry_slack: 10.0,
            seed: 1,
            revoke_ms,
            origin_unix_ms: ORIGIN_UNIX_MS,
            usage: None,
        });
        Self {
            state,
            now: 0.0,
            questions: Vec::new(),
            log: Vec::new(),
        }
    }

    /// A proxy with one controller, an instance and this configuration in version 5.
    fn serving(revoke_ms: Option<f64>, tenants: &str) -> Self {
        let mut proxy = Self::new(revoke_ms);
        proxy.tick_until(0.0);
        proxy.connect(CONTROLLER);
        proxy.apply(5, tenants);
        proxy.receive(ControllerToProxy::Status {
            in_touch: true,
            configuration: 5,
            proxies: 1,
            controllers: vec![SocketAddrV4::new(CONTROLLER, 7_721)],
        });
        proxy.receive(ControllerToProxy::Table {
            service: "stamps".into(),
            revision: 1,
            sequence: 1,
            entries: vec![TableEntry {
                incarnation: "i-1".into(),
                address: SocketAddrV4::new(CONTROLLER, 9_000),
                zone: "quay".into(),
                weight: 1.0,
                slots: 4,
            }],
        });
        proxy
    }

    fn take_effects(&mut self) {
        for effect in self.state.take_effects() {
            match effect {
                Effect::SendToController {
                    to,
                    message: ProxyToController::RequestVerification(question),
                } => self.questions.push((to, question)),
                Effect::Log(line) | Effect::LogWarning(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn connect(&mut self, controller: Ipv4Addr) {
        self.state.controller_connected(self.now, controller);
        self.take_effects();
    }

    fn apply(&mut self, version: u64, tenants: &str) {
        let body = configuration(version, tenants).into_bytes();
        let routes = RouteTable::read(&body).expect("a valid configuration");
        self.state.apply_configuration(routes, body);
        self.take_effects();
    }

    fn receive(&mut self, message: ControllerToProxy) {
        self.state
            .handle_controller_message(self.now, CONTROLLER, message);
        self.take_effects();
    }

    fn tick_until(&mut self, end: f64) {
        while self.now + TICK_MS <= end {
            self.now += TICK_MS;
            self.tick();
        }
        self.now = end;
        self.tick();
    }

    fn tick(&mut self) {
        self.state.tick(self.now);
        self.take_effects();
    }

    fn answer(&mut self, sent_ms: f64, version: u64) {
        let unix_ms = ORIGIN_UNIX_MS + self.now;
        self.receive(ControllerToProxy::ConfigurationVerified(Verification {
            sent_ms,
            version,
            unix_ms,
        }));
    }

    fn accepts_keys(&self) -> bool {
        self.state.may_accept_keys(self.now)
    }

    /// The tenant of a request with this key, or the response that rejects it.
    fn request(&mut self, path: &str, key: &str) -> Result<Option<String>, LocalResponse> {
        self.request_with(path, Credentials::Bearer(key))
    }

    fn request_without_key(&mut self, path: &str) -> Result<Option<String>, LocalResponse> {
        self.request_with(path, Credentials::None)
    }

    fn request_with(
        &mut self,
        path: &str,
        credentials: Credentials,
    ) -> Result<Option<String>, LocalResponse> {
        let request = RouteRequest {
            host: "post.example",
            path,
            client_wait_ms: None,
            credentials,
        };
        let decision = self.state.route(self.now, request)?;
        Ok(decision.tenant.map(|name| name.to_string()))
    }

    fn is_ready(&self) -> bool {
        self.state.is_ready(self.now)
    }
}

#[test]
fn without_strict_revocation_no_controller_is_asked_and_keys_are_accepted() {
    let mut proxy = Proxy::serving(None, TENANTS);
    proxy.tick_until(20_000.0);
    assert_eq!(proxy.questions, []);
    assert!(proxy.accepts_keys() && proxy.is_ready());
}

#[test]
fn each_connected_controller_is_asked_at_once_and_then_about_every_second() {
    let mut proxy = Proxy::new(Some(REVOKE_MS));
    let controllers: Vec<Ipv4Addr> = (1..=5).map(|n| Ipv4Addr::new(10, n, 0, 1)).collect();
    for controller in &controllers {
        proxy.connect(*controller);
    }
    assert_eq!(proxy.questions.len(), controllers.len());
    proxy.tick_until(20_000.0);
    for controller in &controllers {
        let asked = proxy.questions.iter().filter(|(to, _)| to == controller);
        let times: Vec<f64> = asked.map(|(_, question)| question.sent_ms).collect();
        assert!((20..=22).contains(&times.len()), "{controller}: {times:?}");
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.fold(0.0, f64::max) <= QUESTION_INTERVAL_MS + TICK_MS);
    }
    // Staggered: no tick asks them all.
    let last = proxy.questions.last().expect("a question").1.sent_ms;
    let in_last_tick = proxy.questions.iter().filter(|(_, q)| q.sent_ms == last);
    assert!(in_last_tick.count() < controllers.len());
    let (_, question) = &proxy.questions[0];
    assert_eq!(question.unix_ms, ORIGIN_UNIX_MS + question.sent_ms);
}

#[test]
fn a_controller_is_asked_only_while_it_is_connected() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.state.controller_disconnected(CONTROLLER);
    let before = proxy.questions.len();
    proxy.tick_until(5_000.0);
    assert_eq!(proxy.questions.len(), before);
    proxy.connect(CONTROLLER);
    assert_eq!(proxy.questions.len(), before + 1);
}

/// Guards against a revoked key that is accepted because an answer was under way for long.
#[test]
fn the_lease_counts_from_the_question_and_not_from_its_answer() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    assert!(!proxy.accepts_keys());
    proxy.now = 4_000.0;
    proxy.answer(0.0, 5);
    assert!(proxy.accepts_keys());
    proxy.now = REVOKE_MS - MAX_MARGIN_MS;
    assert!(proxy.accepts_keys());
    proxy.now = REVOKE_MS;
    assert!(!proxy.accepts_keys());
}

#[test]
fn each_answer_extends_the_lease_and_an_older_one_does_not_shorten_it() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.now = 3_000.0;
    proxy.answer(2_900.0, 5);
    proxy.answer(100.0, 5);
    proxy.now = 7_500.0;
    assert!(proxy.accepts_keys());
    proxy.answer(7_400.0, 5);
    proxy.now = 12_000.0;
    assert!(proxy.accepts_keys());
    proxy.now = 12_500.0;
    assert!(!proxy.accepts_keys());
}

#[test]
fn a_proxy_that_is_behind_gets_its_lease_once_the_verified_version_is_in_force() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.now = 1_000.0;
    proxy.answer(900.0, 7);
    assert!(!proxy.accepts_keys());
    proxy.now = 2_000.0;
    proxy.apply(6, TENANTS);
    assert!(!proxy.accepts_keys());
    proxy.apply(7, TENANTS);
    assert!(proxy.accepts_keys());
    proxy.now = 900.0 + REVOKE_MS;
    assert!(!proxy.accepts_keys());
}

/// Guards against a proxy that holds a revoked key and keeps its lease although it hears of the newer version.
#[test]
fn answers_that_name_a_newer_version_do_not_extend_the_lease() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.answer(0.0, 5);
    for second in 1..=5 {
        proxy.now = f64::from(second) * 1_000.0;
        proxy.answer(proxy.now - 10.0, 7);
    }
    assert!(!proxy.accepts_keys());
}

/// Guards against a machine that was frozen and goes on with a key that was revoked meanwhile.
#[test]
fn after_a_freeze_answers_from_before_do_not_count_and_controllers_are_asked_at_once() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.tick_until(3_000.0);
    proxy.answer(2_500.0, 5);
    assert!(proxy.accepts_keys() && proxy.is_ready());
    proxy.now = 23_000.0;
    assert!(!proxy.accepts_keys() && !proxy.is_ready());
    // An answer that waited in the socket.
    proxy.answer(2_900.0, 5);
    assert!(!proxy.accepts_keys() && !proxy.is_ready());
    let before = proxy.questions.len();
    proxy.tick();
    assert_eq!(proxy.questions.len(), before + 1);
    proxy.now += 10.0;
    proxy.answer(23_000.0, 5);
    assert!(proxy.accepts_keys() && proxy.is_ready());
}

#[test]
fn an_answer_to_a_question_from_the_future_is_ignored() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.answer(proxy.now + 60_000.0, 5);
    proxy.answer(f64::NAN, 5);
    assert!(!proxy.accepts_keys());
}

#[test]
fn readiness_needs_the_lease_only_where_the_configuration_has_tenants() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), NO_TENANTS);
    assert!(proxy.is_ready());
    proxy.apply(6, TENANTS);
    assert!(!proxy.is_ready());
    proxy.answer(proxy.now, 6);
    assert!(proxy.is_ready());
    proxy.now += REVOKE_MS;
    assert!(!proxy.is_ready());
    proxy.apply(7, NO_TENANTS);
    assert!(proxy.is_ready());
}

#[test]
fn the_loss_of_the_lease_and_its_return_are_logged_with_the_time_between() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.answer(0.0, 5);
    proxy.log.clear();
    proxy.tick_until(REVOKE_MS + 3_000.0);
    assert_eq!(proxy.log.len(), 1, "{:?}", proxy.log);
    assert!(proxy.log[0].contains("rejecting requests with keys"));
    proxy.answer(proxy.now - 20.0, 5);
    proxy.tick_until(proxy.now + 1_000.0);
    assert_eq!(proxy.log.len(), 2, "{:?}", proxy.log);
    let missing_ms = proxy.log[1].rsplit(' ').nth(1).expect("a time");
    let missing_ms: f64 = missing_ms.parse().expect("a number");
    assert!(
        (3_000.0..=3_000.0 + MAX_MARGIN_MS + TICK_MS).contains(&missing_ms),
        "{:?}",
        proxy.log
    );
}

#[test]
fn the_time_of_day_is_the_median_of_the_own_clock_and_those_of_controllers() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    assert_eq!(proxy.state.unix_ms(250.0), ORIGIN_UNIX_MS + 250.0);
    for (controller, off_ms) in [(1, 5_000.0), (2, 4_000.0)] {
        let answer = Verification {
            sent_ms: 0.0,
            version: 5,
            unix_ms: ORIGIN_UNIX_MS + off_ms,
        };
        proxy.state.handle_controller_message(
            0.0,
            Ipv4Addr::new(10, controller, 0, 1),
            ControllerToProxy::ConfigurationVerified(answer),
        );
    }
    assert_eq!(proxy.state.unix_ms(250.0), ORIGIN_UNIX_MS + 4_250.0);
}

/// Guards against a machine that was cut off or frozen and runs requests with a key that was revoked meanwhile (CONFIG).
#[test]
fn a_proxy_that_hears_nothing_newer_rejects_keys_with_a_promise_before_revoke_ms_are_over() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    proxy.answer(0.0, 5);
    proxy.now = REVOKE_MS - MAX_MARGIN_MS;
    assert_eq!(proxy.request("/", "key-a"), Ok(Some("kaje80".into())));
    for now in [REVOKE_MS, 60_000.0] {
        proxy.now = now;
        let response = proxy.request("/", "key-a").expect_err("no lease");
        assert_eq!(response.status, 503);
        assert!(response.retry_after_ms.is_some_and(|ms| ms > 0.0));
    }
    proxy.answer(59_900.0, 5);
    assert_eq!(proxy.request("/", "key-a"), Ok(Some("kaje80".into())));
}

/// Guards against a 401 from a proxy that doesn't know yet of a key that was added.
#[test]
fn without_a_lease_an_unknown_key_gets_503_and_with_one_401() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    let status = |proxy: &mut Proxy| proxy.request("/", "key-b").map_err(|r| r.status);
    assert_eq!(status(&mut proxy), Err(503));
    proxy.answer(0.0, 5);
    assert_eq!(status(&mut proxy), Err(401));
}

#[test]
fn without_a_lease_public_routes_are_served_to_requests_without_a_key() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), TENANTS);
    let status = |response: LocalResponse| response.status;
    assert_eq!(proxy.request_without_key("/open/"), Ok(None));
    // The key may have been passed on to another tenant, so none can be named.
    assert_eq!(proxy.request("/open/", "key-a").map_err(status), Err(503));
    assert_eq!(proxy.request("/", "key-a").map_err(status), Err(503));
}

/// Guards against a machine that is cut off with a configuration without tenants, and runs requests with a key that newer
/// configurations have brought and revoked (CONFIG).
#[test]
fn a_configuration_without_tenants_admits_keys_only_under_a_lease() {
    let mut proxy = Proxy::serving(Some(REVOKE_MS), NO_TENANTS);
    let status = |response: LocalResponse| response.status;
    for path in ["/", "/open/"] {
        assert_eq!(proxy.request(path, "key-a").map_err(status), Err(503));
        assert_eq!(proxy.request_without_key(path), Ok(None));
    }
    proxy.answer(0.0, 5);
    assert_eq!(proxy.request("/", "key-a"), Ok(None));
    proxy.now = REVOKE_MS - MAX_MARGIN_MS;
    assert_eq!(proxy.request("/", "key-a"), Ok(None));
    // Nothing newer is heard.
    for now in [REVOKE_MS, 60_000.0] {
        proxy.now = now;
        let response = proxy.request("/", "key-a").expect_err("no lease");
        assert_eq!(response.status, 503);
        assert!(response.retry_after_ms.is_some_and(|ms| ms > 0.0));
        assert_eq!(proxy.request_without_key("/"), Ok(None));
    }
    // Version 6 is known to exist, and may have tenants.
    proxy.answer(59_900.0, 6);
    assert_eq!(proxy.request("/", "key-a").map_err(status), Err(503));
    proxy.apply(6, NO_TENANTS);
    assert_eq!(proxy.request("/", "key-a"), Ok(None));
}

/// Guards against a loss of service where keys need no lease.
#[test]
fn without_revocation_strict_a_configuration_without_tenants_is_served_to_all() {
    let mut proxy = Proxy::serving(None, NO_TENANTS);
    proxy.now = 60_000.0;
    assert_eq!(proxy.request("/", "key-a"), Ok(None));
    assert_eq!(proxy.request_without_key("/"), Ok(None));
}
