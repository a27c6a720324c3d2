import {readFile} from 'node:fs/promises';
import {ValidationError} from '@marjoramcove/errors';
import {parseSettings} from './parse-settings.ts';
import type {Settings} from './settings-schema.ts';

/**
 * Reads, parses and checks a settings file.
 *
 * @throws ValidationError when the file cannot be read or is not valid.
 * @example
 * ```ts
 * const settings = await readSettings('/etc/marjoramcove/daemon.yaml');
 * ```
 */
export const readSettings = async (file: string): Promise<Settings> => {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new ValidationError(
			`The settings file ${file} cannot be read: ${(error as Error).message}.`,
			'Pass the path of a readable YAML file with --settings.',
		);
	}

	return parseSettings(text);
};
