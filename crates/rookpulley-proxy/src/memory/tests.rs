use super::*;

#[test]
fn reservation_is_released_with_the_last_clone_of_the_bytes() {
    let max = 1_000_000;
    let memory = MemoryLimit::new(max);
    assert!(memory.reserve_for_response(max + 1).is_none());
    assert!(memory.reserve_for_request(max / 2 + 1).is_none());
    let bytes = memory
        .reserve_for_response(max)
        .map(|reservation| reservation.attach(Bytes::from(vec![1; 10])));
    assert!(memory.reserve_for_response(max - 9).is_none());
    let part = bytes.as_ref().map(|bytes| bytes.slice(2..3));
    drop(bytes);
    assert!(memory.reserve_for_response(max - 9).is_none());
    drop(part);
    assert!(memory.reserve_for_response(max).is_some());
}
