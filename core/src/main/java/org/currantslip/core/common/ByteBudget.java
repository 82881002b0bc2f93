package org.currantslip.core.common;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total memory of many buffers that grow at the same time.
 *
 * <p>Each buffer may hold a few bytes in any case, so that large buffers do not starve small ones.
 * Thread-safe; a single {@link Share} is confined to the owner of its buffer.
 */
public final class ByteBudget {
  private final long maxSharedBytes;
  private final long freeBytesPerBuffer;
  private final AtomicLong sharedBytes = new AtomicLong();

  private ByteBudget(long maxSharedBytes, long freeBytesPerBuffer) {
    this.maxSharedBytes = maxSharedBytes;
    this.freeBytesPerBuffer = freeBytesPerBuffer;
  }

  /**
   * Returns an unused budget.
   *
   * @param maxSharedBytes limit of what all buffers hold in excess of {@code freeBytesPerBuffer}
   * @param freeBytesPerBuffer size up to which a buffer is not limited
   */
  public static ByteBudget of(long maxSharedBytes, long freeBytesPerBuffer) {
    return new ByteBudget(maxSharedBytes, freeBytesPerBuffer);
  }

  /** Returns the share of a new, empty buffer. */
  public Share open() {
    return new Share();
  }

  /** Returns the bytes that all buffers hold in excess of what each may hold in any case. */
  public long sharedBytes() {
    return sharedBytes.get();
  }

  /** Part of the budget that one buffer uses. */
  public final class Share {
    private long heldBytes;

    private Share() {}

    /** Sets the size of the buffer; returns false and changes nothing if that is too much. */
    public boolean tryResize(long bufferBytes) {
      long neededBytes = Math.max(0, bufferBytes - freeBytesPerBuffer);
      long addedBytes = neededBytes - heldBytes;
      if (sharedBytes.addAndGet(addedBytes) > maxSharedBytes && addedBytes > 0) {
        sharedBytes.addAndGet(-addedBytes);
        return false;
      }
      heldBytes = neededBytes;
      return true;
    }

    /** Releases the share of a buffer that is discarded. */
    public void release() {
      sharedBytes.addAndGet(-heldBytes);
      heldBytes = 0;
    }
  }
}
