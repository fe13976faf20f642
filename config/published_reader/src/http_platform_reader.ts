import {CarobseamError} from '@carobseam/core.errors';
import type {Metrics} from '@carobseam/core.metrics';
import got, {type Got, type Response} from 'got';
import {Agent} from 'node:http';
import type {
  PlatformReader,
  PlatformValue,
  ReadOptions,
  WatchOptions,
} from './platform_reader.js';
import {vmListSchema, type VmList} from './vm_list.js';

const INDEX_HEADER = 'x-index';
const LIMITED_STATUS = 429;
const NOT_FOUND_STATUS = 404;
const OK_STATUS = 200;
/** The platform holds values up to 1 MB; the margin is for the framing. */
const MAX_RESPONSE_BYTES = 1_100_000;

/** Options of a `HttpPlatformReader`. */
export interface HttpPlatformReaderOptions {
  /** Base URL of the platform. */
  url: string;
  /** Longest time of a call beyond its wait, ms. */
  timeoutMs: number;
  metrics: Metrics;
}

/** Reads the platform over HTTP; watches are long polls with an index. */
export class HttpPlatformReader implements PlatformReader {
  readonly #client: Got;
  readonly #agent = new Agent({keepAlive: true});
  readonly #timeoutMs: number;
  readonly #metrics: Metrics;

  constructor(options: HttpPlatformReaderOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#metrics = options.metrics;
    this.#client = got.extend({
      prefixUrl: options.url,
      agent: {http: this.#agent},
      retry: {limit: 0},
      responseType: 'buffer',
    });
  }

  read(
    key: string,
    options: ReadOptions = {},
  ): Promise<PlatformValue | undefined> {
    return this.#get('read', `v1/kv/${key}`, options);
  }

  watch(
    key: string,
    options: WatchOptions,
  ): Promise<PlatformValue | undefined> {
    return this.#get('watch', `v1/kv/${key}`, options);
  }

  async listVms(options: WatchOptions): Promise<VmList> {
    const value = await this.#get('list_vms', 'v1/vms', options);
    const parsed = vmListSchema.safeParse(parseJson(value?.bytes));
    if (!value || !parsed.success) {
      throw invalidResponse('the list of VMs is malformed');
    }
    return {index: value.index, vms: parsed.data.vms};
  }

  async close(): Promise<void> {
    this.#agent.destroy();
  }

  async #get(
    operation: string,
    path: string,
    options: WatchOptions,
  ): Promise<PlatformValue | undefined> {
    try {
      const value = await this.#request(path, options);
      this.#count(operation, 'ok');
      return value;
    } catch (error) {
      const failure = toPlatformError(error);
      this.#count(operation, failure.code.toLowerCase());
      throw failure;
    }
  }

  async #request(
    path: string,
    options: WatchOptions,
  ): Promise<PlatformValue | undefined> {
    const response = await this.#client.get(path, {
      searchParams: searchParamsOf(options),
      timeout: {request: this.#timeoutMs + (options.waitMs ?? 0)},
      signal: options.signal,
      throwHttpErrors: false,
    });
    if (response.statusCode === NOT_FOUND_STATUS) {
      return undefined;
    }
    if (response.statusCode !== OK_STATUS) {
      throw refusedCall(response);
    }
    if (response.rawBody.byteLength > MAX_RESPONSE_BYTES) {
      throw invalidResponse(
        `the value is larger than ${MAX_RESPONSE_BYTES} bytes`,
      );
    }
    return {index: indexOf(response), bytes: new Uint8Array(response.rawBody)};
  }

  #count(operation: string, outcome: string): void {
    this.#metrics.increment('carobseam_platform_calls_total', {
      operation,
      outcome,
    });
  }
}

function searchParamsOf(options: WatchOptions): Record<string, string> {
  if (options.afterIndex === undefined) {
    return {};
  }
  return {
    index: String(options.afterIndex),
    wait_ms: String(options.waitMs ?? 0),
  };
}

function indexOf(response: Response<unknown>): number {
  const index = Number(response.headers[INDEX_HEADER]);
  if (!Number.isSafeInteger(index)) {
    throw invalidResponse(`header ${INDEX_HEADER} is malformed`);
  }
  return index;
}

function parseJson(bytes: Uint8Array | undefined): unknown {
  try {
    return JSON.parse(Buffer.from(bytes ?? []).toString('utf8'));
  } catch {
    return undefined;
  }
}

function invalidResponse(message: string): CarobseamError {
  return new CarobseamError({
    code: 'PLATFORM_INVALID',
    message: `platform: ${message}`,
    hint: 'check platform.url in the settings',
  });
}

function refusedCall(response: Response<unknown>): CarobseamError {
  if (response.statusCode !== LIMITED_STATUS) {
    return new CarobseamError({
      code: 'PLATFORM_UNAVAILABLE',
      message: `platform responded with status ${response.statusCode}`,
      hint: 'check the platform',
    });
  }
  const retryAfterS = Number(response.headers['retry-after']) || 0;
  return new CarobseamError({
    code: 'PLATFORM_LIMITED',
    message: 'platform refused the call because of its rate limit',
    hint: 'the call is repeated later',
    info: {retryAfterMs: retryAfterS * 1000},
  });
}

function toPlatformError(error: unknown): CarobseamError {
  if (error instanceof CarobseamError) {
    return error;
  }
  return new CarobseamError({
    code: 'PLATFORM_UNAVAILABLE',
    message: 'platform does not respond',
    hint: 'check the platform and platform.url in the settings',
    cause: error,
  });
}
