import {decodeCanonical, encodeCanonical} from '@carobseam/config.codec';
import type {VmListHint} from '@carobseam/core.blackboard';
import {CarobseamError} from '@carobseam/core.errors';
import {vmIdSchema} from '@carobseam/core.types';
import {
  listedVmSchema,
  type ListedVm,
} from '@carobseam/config.published_reader';
import {brotliCompressSync, brotliDecompressSync, constants} from 'node:zlib';
import {z} from 'zod';

/** Maximum number of VMs in a list that is accepted and broadcast. */
export const MAX_LISTED_VMS = 5000;

const MAX_DECODED_BYTES = 2_000_000;
const BROTLI_QUALITY = 5;

const indexSchema = z.number().int().nonnegative();

/** Fields are encoded by position, because their names would take up most of a row. */
const rowSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.string(),
]);

const messageSchema = z.strictObject({
  index: indexSchema,
  /** Index of the list that the difference refers to; absent in a message with the full list. */
  baseIndex: indexSchema.optional(),
  rows: z.array(rowSchema).max(MAX_LISTED_VMS),
  removed: z.array(vmIdSchema).max(MAX_LISTED_VMS),
});

/** A full list of VMs, or the difference from the list with index `baseIndex`. */
export interface VmListMessage {
  readonly index: number;
  readonly baseIndex?: number;
  readonly vms: readonly ListedVm[];
  readonly removed: readonly string[];
}

type Row = z.output<typeof rowSchema>;

/** Encodes the difference from the previous list, or the full list when that is not larger. */
export function encodeVmList(
  list: VmListHint,
  previous?: VmListHint,
): Uint8Array {
  const full = {index: list.index, rows: list.vms.map(toRow), removed: []};
  if (!previous || previous.index === 0) {
    return compress(full);
  }
  const difference = differenceOf(list, previous);
  const changes = difference.rows.length + difference.removed.length;
  return compress(changes < list.vms.length ? difference : full);
}

/**
 * Decodes a message of `encodeVmList`.
 *
 * @throws CarobseamError `CODEC_INVALID`.
 */
export function decodeVmList(bytes: Uint8Array): VmListMessage {
  try {
    const options = {maxOutputLength: MAX_DECODED_BYTES};
    const value = decodeCanonical(brotliDecompressSync(bytes, options));
    const {index, baseIndex, rows, removed} = messageSchema.parse(value);
    return {index, baseIndex, vms: rows.map(toVm), removed};
  } catch (error) {
    throw new CarobseamError({
      code: 'CODEC_INVALID',
      message: 'list of VMs cannot be decoded',
      hint: 'run the same release on every VM',
      cause: error,
    });
  }
}

/**
 * Returns the list after a message; undefined when the message is a difference
 * from another list than the current one.
 */
export function applyVmList(
  message: VmListMessage,
  current: VmListHint,
): VmListHint | undefined {
  const {index, baseIndex, vms, removed} = message;
  if (baseIndex === undefined) {
    return {index, vms};
  }
  if (baseIndex !== current.index) {
    return undefined;
  }
  const merged = new Map<string, ListedVm>();
  [...current.vms, ...vms].forEach(vm => merged.set(vm.vmId, vm));
  removed.forEach(vmId => merged.delete(vmId));
  return {index, vms: [...merged.values()].slice(0, MAX_LISTED_VMS)};
}

function differenceOf(list: VmListHint, previous: VmListHint) {
  const previousVms = new Map(previous.vms.map(vm => [vm.vmId, vm]));
  const currentIds = new Set(list.vms.map(vm => vm.vmId));
  const isChanged = (vm: ListedVm) => {
    const previousVm = previousVms.get(vm.vmId);
    return !previousVm || toRow(previousVm).join() !== toRow(vm).join();
  };
  return {
    index: list.index,
    baseIndex: previous.index,
    rows: list.vms.filter(isChanged).map(toRow),
    removed: [...previousVms.keys()].filter(vmId => !currentIds.has(vmId)),
  };
}

function toRow(vm: ListedVm): Row {
  const {vmId, dataCentre, service, address} = vm;
  const {fleetPort, callersPort, state} = vm;
  return [vmId, dataCentre, service, address, fleetPort, callersPort, state];
}

function toVm(row: Row): ListedVm {
  const [vmId, dataCentre, service, address, fleetPort, callersPort, state] =
    row;
  return listedVmSchema.parse({
    ...{vmId, dataCentre, service, address},
    ...{fleetPort, callersPort, state},
  });
}

function compress(message: object): Uint8Array {
  return brotliCompressSync(encodeCanonical(message), {
    params: {[constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY},
  });
}
