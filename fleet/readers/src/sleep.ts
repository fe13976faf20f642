import type {Clock} from '@carobseam/core.types';

/** Waits for a time; returns early when the signal aborts. */
export async function sleep(
  clock: Clock,
  durationMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) {
    return;
  }
  await new Promise<void>(resolve => {
    const timer = clock.setTimer(durationMs, finish);
    signal.addEventListener('abort', finish, {once: true});
    function finish(): void {
      timer.cancel();
      signal.removeEventListener('abort', finish);
      resolve();
    }
  });
}
