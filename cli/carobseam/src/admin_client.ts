import {CarobseamError} from '@carobseam/core.errors';
import {
  callExplanationSchema,
  daemonStatusSchema,
  type CallExplanation,
  type DaemonStatus,
} from '@carobseam/daemon.admin/messages';
import got, {RequestError, type Got} from 'got';
import {isIP} from 'node:net';
import type {z} from 'zod';

const DEFAULT_TIMEOUT_MS = 2000;
const ADDRESS_PATTERN =
  /^(?:http:\/\/)?(?:\[([^\]]+)\]|([^:[\]/]+)):(\d{1,5})\/?$/;
const MAX_PORT = 65535;

/**
 * Brings an address to the form ip:port.
 *
 * @throws CarobseamError `ARGUMENT_INVALID`.
 */
export function parseAddress(text: string): string {
  const [, v6, v4, portText] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(portText);
  const isValid = isIP(v6 ?? '') === 6 || isIP(v4 ?? '') === 4;
  if (isValid && port >= 1 && port <= MAX_PORT) {
    return `${v6 ? `[${v6}]` : v4}:${port}`;
  }
  throw new CarobseamError({
    code: 'ARGUMENT_INVALID',
    message: `${text} is no admin address`,
    hint: 'use IP:PORT with the admin.address and admin.port of the settings',
  });
}

/** Calls the admin port of one daemon. */
export class AdminClient {
  readonly address: string;
  readonly #client: Got;

  /** @throws CarobseamError `ARGUMENT_INVALID` for a malformed address. */
  constructor(address: string, timeoutMs = DEFAULT_TIMEOUT_MS) {
    this.address = parseAddress(address);
    this.#client = got.extend({
      prefixUrl: `http://${this.address}`,
      retry: {limit: 0},
      timeout: {request: timeoutMs},
    });
  }

  /** @throws CarobseamError `ADMIN_UNREACHABLE`. */
  async status(): Promise<DaemonStatus> {
    return this.#request(daemonStatusSchema, () =>
      this.#client.get('status').json(),
    );
  }

  /** @throws CarobseamError `ADMIN_UNREACHABLE`. */
  async explain(method: string, path: string): Promise<CallExplanation> {
    const searchParams = {method, path};
    return this.#request(callExplanationSchema, () =>
      this.#client.get('explain', {searchParams}).json(),
    );
  }

  /** @throws CarobseamError `ADMIN_UNREACHABLE`. */
  async drain(): Promise<void> {
    await this.#call(() => this.#client.post('drain').text());
  }

  /** Whether the admin port still accepts connections. */
  async isUp(): Promise<boolean> {
    return this.#client.get('healthz').then(
      () => true,
      error => error.code !== 'ECONNREFUSED',
    );
  }

  async #request<Schema extends z.ZodType>(
    schema: Schema,
    send: () => Promise<unknown>,
  ): Promise<z.output<Schema>> {
    const result = schema.safeParse(await this.#call(send));
    if (result.success) {
      return result.data;
    }
    throw this.#unreachable(NO_ADMIN_PORT.detail, NO_ADMIN_PORT.hint);
  }

  async #call<T>(send: () => Promise<T>): Promise<T> {
    try {
      return await send();
    } catch (error) {
      const {detail, hint} = describeFailure(error);
      throw this.#unreachable(detail, hint, error);
    }
  }

  #unreachable(detail: string, hint: string, cause?: unknown): CarobseamError {
    return new CarobseamError({
      code: 'ADMIN_UNREACHABLE',
      message: `daemon at ${this.address} ${detail}`,
      hint,
      cause,
    });
  }
}

const NO_ADMIN_PORT = {
  detail: 'is no admin port of this release',
  hint: 'use admin.address and admin.port of the settings, and the carobseam of the release that the daemon runs',
};

const failures: Record<string, {detail: string; hint: string}> = {
  ERR_NON_2XX_3XX_RESPONSE: NO_ADMIN_PORT,
  ERR_BODY_PARSE_FAILURE: NO_ADMIN_PORT,
  ECONNREFUSED: {
    detail: 'refuses connections',
    hint: 'start it, or correct the address; admin.address is 127.0.0.1 by default, so run carobseam on its VM',
  },
  ETIMEDOUT: {
    detail: 'does not respond in time',
    hint: 'check the VM and the network, and raise --request-timeout when it is only slow',
  },
};

function describeFailure(error: unknown): {detail: string; hint: string} {
  const code = error instanceof RequestError ? error.code : 'unknown';
  return (
    failures[code] ?? {
      detail: `does not respond (${code})`,
      hint: 'check that the address is the admin port of a daemon',
    }
  );
}
