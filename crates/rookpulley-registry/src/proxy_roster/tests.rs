use super::*;

#[test]
fn disconnected_proxy_is_counted_until_its_grace_period_expires() {
    let mut roster = ProxyRoster::default();
    ["a", "b"]
        .into_iter()
        .for_each(|name| roster.connected(name));
    roster.disconnected(0.0, "a");
    roster.disconnected(0.0, "b");
    roster.connected("b");
    roster.expire(11_999.0);
    assert_eq!(roster.count(), 2);
    roster.expire(12_000.0);
    assert_eq!(roster.count(), 1);
}
