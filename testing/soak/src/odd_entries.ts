import {SOAK_SERVICE} from './soak_mesh.js';

const NESTING_DEPTH = 20_000; // recursive code exhausts its stack before
const UNUSED_ADDRESS = '127.0.30.1:9';

const soundFields = {
  service: SOAK_SERVICE,
  address: UNUSED_ADDRESS,
  zone: 'wien',
  slots: 8,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 1,
  born: 1,
};

/** An entry with some fields as JSON texts, since some are no JavaScript values. */
function entryWith(fields: Readonly<Record<string, string>>): Buffer {
  const texts = Object.entries(soundFields).map(([key, value]) => [
    key,
    JSON.stringify(value),
  ]);
  const all = {...Object.fromEntries(texts), ...fields};
  const members = Object.entries(all).map(([key, text]) => `"${key}":${text}`);
  return Buffer.from(`{${members.join(',')}}`);
}

function nested(open: string, close: string, inner = ''): string {
  return open.repeat(NESTING_DEPTH) + inner + close.repeat(NESTING_DEPTH);
}

/** Entries of workers as another program may write them; no worker answers. */
export const oddEntries: Record<string, () => Buffer> = {
  nestedLists: () => Buffer.from(nested('[', ']')),
  nestedField: () => entryWith({service: nested('[', ']')}),
  nestedExtraField: () => entryWith({extra: nested('{"a":', '}', '1')}),
  openNesting: () => Buffer.from('['.repeat(NESTING_DEPTH)),
  infiniteSlots: () => entryWith({slots: '1e999'}),
  hugeSlots: () => entryWith({slots: '1e300'}),
  longNumber: () => entryWith({slots: '9'.repeat(NESTING_DEPTH)}),
  hugeColdTime: () => entryWith({coldRemainingMs: '1e308'}),
  hugeSequence: () => entryWith({sequence: '1e300'}),
  hugeBirth: () => entryWith({born: '1e308'}),
  negativeSlots: () => entryWith({slots: '-8'}),
  portOutOfRange: () => entryWith({address: '"127.0.30.1:99999"'}),
  portZero: () => entryWith({address: '"127.0.30.1:0"'}),
  hostOutOfRange: () => entryWith({address: '"999.0.30.1:9"'}),
  unreadableBytes: () => Buffer.from([0xff, 0xfe, 0x00, 0xc3, 0x28, 0x80]),
  unreadableName: () =>
    Buffer.concat([entryWith({}).subarray(0, 12), Buffer.from([0xc3, 0x28])]),
  noBytes: () => Buffer.alloc(0),
  noObject: () => Buffer.from('null'),
  listForEntry: () => Buffer.from('[]'),
  unknownState: () => entryWith({state: '"resting"'}),
  otherTypes: () => entryWith({service: '7', address: '{}', slots: '"8"'}),
  noFields: () => Buffer.from('{}'),
};
