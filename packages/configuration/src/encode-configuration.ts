import {ValidationError} from '@marjoramcove/errors';
import type {ConfigurationState} from './state.ts';

const FORMAT = 1;

/**
 * Encodes a state as a snapshot.
 *
 * @example
 * ```ts
 * const bytes = encodeConfiguration(state);
 * ```
 */
export const encodeConfiguration = (state: ConfigurationState): Uint8Array =>
	Buffer.from(
		JSON.stringify({
			format: FORMAT,
			...state,
			resources: [...state.resources],
			operations: [...state.operations],
		}),
	);

/**
 * Decodes a snapshot.
 *
 * @throws ValidationError when the snapshot has another format.
 */
export const decodeConfiguration = (bytes: Uint8Array): ConfigurationState => {
	const {format, resources, operations, ...rest} = JSON.parse(
		Buffer.from(bytes).toString('utf8'),
	) as Omit<ConfigurationState, 'resources' | 'operations'> & {
		format: number;
		resources: Array<[string, never]>;
		operations: Array<[string, never]>;
	};
	if (format !== FORMAT) {
		throw new ValidationError(
			`The snapshot has format ${format}; this version reads format ${FORMAT}.`,
			'Use the version of the daemon that wrote the snapshot.',
		);
	}

	return {
		...rest,
		resources: new Map(resources),
		operations: new Map(operations),
	};
};
