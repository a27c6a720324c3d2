import type {UpstreamId, ZoneName} from '@marjoramcove/types';
import * as z from 'zod';
import type {Resource} from './resources.ts';

/** Names and labels become parts of ids, headers and metrics, so their characters are limited. */
const name = z
	.string()
	.regex(
		/^[\da-z](?:[\d._a-z-]{0,61}[\da-z])?$/u,
		'must be 1 to 63 lower-case letters, digits, dots, dashes or underscores, and begin and end with a letter or digit',
	);

const labelKey = z
	.string()
	.regex(
		/^[A-Za-z\d][\w./-]{0,62}$/u,
		'must be 1 to 63 letters, digits, dots, dashes, slashes or underscores',
	);

const labels = z.record(labelKey, z.string().max(256));

const address = z.url({
	protocol: /^https?$/u,
	error: 'must be a URL that begins with http:// or https://',
});

const nonNegativeInteger = z.int().min(0);

const desired = z.strictObject({
	models: z.array(z.string().min(1)),
	adapters: z.array(z.string().min(1)),
	version: z.string().min(1),
	role: z.enum(['prefill', 'decode', 'mixed']),
});

const engineSpec = z.strictObject({
	type: z.literal('engine'),
	address,
	zone: name.transform((text) => text as ZoneName),
	models: z.array(z.string().min(1)).min(1),
	slots: z.int().min(1),
	checksFencing: z.boolean(),
	desired: desired.optional(),
});

const serviceSpec = z.strictObject({
	type: z.literal('service'),
	service: name,
	address,
	zone: name.transform((text) => text as ZoneName),
	slots: z.int().min(1),
	checksFencing: z.boolean(),
	operations: z.record(
		name,
		z.strictObject({
			idempotent: z.boolean(),
			timeoutMs: z.int().min(1).max(3_600_000),
		}),
	),
});

const upstream = z.strictObject({
	kind: z.literal('Upstream'),
	name: name.transform((text) => text as UpstreamId),
	labels: labels.default({}),
	spec: z.discriminatedUnion('type', [engineSpec, serviceSpec]),
});

const selector = z.strictObject({
	kind: z.literal('Selector'),
	name,
	labels: labels.default({}),
	spec: z.strictObject({
		programs: labels,
		upstreams: labels,
		budget: z
			.strictObject({
				tokens: nonNegativeInteger,
				turns: nonNegativeInteger,
				wallTimeMs: nonNegativeInteger,
			})
			.partial()
			.optional(),
		weights: z
			.strictObject({latency: z.number().min(0), cache: z.number().min(0)})
			.optional(),
		priority: z.int().default(0),
	}),
});

const programLabelRule = z.strictObject({
	kind: z.literal('ProgramLabelRule'),
	name,
	labels: labels.default({}),
	spec: z.strictObject({match: labels, add: labels}),
});

/** Schema of every resource. Unknown keys are errors at every level. */
export const resourceSchema: z.ZodType<Resource> = z.discriminatedUnion(
	'kind',
	[upstream, selector, programLabelRule],
);

/** Resource kinds in the order in which they are listed. */
export const RESOURCE_KINDS = [
	'Upstream',
	'Selector',
	'ProgramLabelRule',
] as const;
