package org.currantslip.core.ledger;

/**
 * An idempotency key of a client account.
 *
 * @param account the client account that issued the key
 * @param key the key as sent by the caller, {@code ISSUED_MS-OPAQUE}
 * @param issuedMs issue time of the key, parsed from its prefix
 */
public record LedgerKey(String account, String key, long issuedMs) {}
