import * as toml from 'smol-toml';
import * as zod from 'zod';
import * as errors from '../../model/errors/index.js';
import * as schemas from '../schemas/index.js';
import type * as settingsTypes from './Settings.js';

const MAX_PORT = 65_535;
const MAX_SLOT_COUNT = 64;

/** The memory of the smallest VM of the deployments that the daemon was made for. */
const DEFAULT_MEMORY_MB = 350;
const MIN_SECRET_CHARACTERS = 16;

const addressSchema = zod
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080')
  .transform(parseAddress)
  .refine(address => address.port <= MAX_PORT, 'the port is above 65535');

const nameSchema = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'must be of a-z, 0-9, dot and dash');

const digestSchema = zod
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal');

const settingsSchema: zod.ZodType<settingsTypes.Settings> = zod.strictObject({
  vm: zod.strictObject({
    vmId: nameSchema,
    region: nameSchema,
    failureDomain: nameSchema,
  }),
  listeners: zod.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema,
    metrics: addressSchema,
  }),
  advertised: zod
    .strictObject({
      callersAddress: zod.string().optional(),
      peersAddress: zod.string().optional(),
    })
    .default({}),
  platform: zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('embedded')}),
    zod.strictObject({kind: zod.literal('http'), url: zod.url()}),
  ]),
  peerSecret: zod.string().min(MIN_SECRET_CHARACTERS),
  operators: zod
    .array(
      zod.strictObject({operatorId: nameSchema, tokenSha256Hex: digestSchema}),
    )
    .min(1),
  fleet: zod.strictObject({
    slotCount: zod.int().min(1).max(MAX_SLOT_COUNT),
  }),
  memory: zod
    .strictObject({limitMb: zod.number().positive()})
    .default({limitMb: DEFAULT_MEMORY_MB}),
  log: zod
    .strictObject({level: zod.enum(['debug', 'info', 'warn', 'error'])})
    .default({level: 'info'}),
});

/**
 * Parses settings from TOML text.
 * @throws BramleyrunError of kind invalidSettings, with the path of the invalid field or the line of the syntax error.
 */
export function parseSettings(text: string): settingsTypes.Settings {
  return schemas.parseOrThrow(
    settingsSchema,
    parseToml(text),
    'invalidSettings',
  );
}

function parseToml(text: string): unknown {
  try {
    return toml.parse(text);
  } catch (thrown) {
    if (!(thrown instanceof toml.TomlError)) throw thrown;
    const summary = thrown.message.split('\n')[0];
    return errors.throwError(
      'invalidSettings',
      `line ${thrown.line}, column ${thrown.column}: ${summary}`,
    );
  }
}

function parseAddress(text: string): settingsTypes.ListenAddress {
  const [host, port] = text.split(':');
  return {host, port: Number(port)};
}
