package juniperusher.http;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys that a configuration file holds, as paths such as {@code settings.requestClasses[].group}. A key of an
 * object in an array counts only if each object of the array has it.
 *
 * @param paths the paths
 */
record ConfigKeys(Set<String> paths) {
    private static final String ELEMENT = "[]";
    // The list of endpoints is data: its entries are checked one by one when they are read.
    private static final String ENDPOINT_LIST = "known";
    // Keys that a complete file may lack, by the description of the settings.
    private static final Set<String> OPTIONAL = Set.of(
            "settings.requestClasses[].aimStretch",
            "settings.requestClasses[].sequential",
            "settings.obligations.keyQuietS",
            "settings.fees.fleet");

    ConfigKeys {
        paths = Set.copyOf(paths);
    }

    /** The keys of a file. */
    static ConfigKeys of(JsonObject file) {
        Set<String> paths = new HashSet<>();
        addKeys("", file, paths);
        return new ConfigKeys(paths);
    }

    private static void addKeys(String path, JsonValue value, Set<String> paths) {
        if (value.isObject() && !path.equals(ENDPOINT_LIST)) {
            for (JsonObject.Member member : value.asObject()) {
                String memberPath = path.isEmpty() ? member.getName() : path + '.' + member.getName();
                paths.add(memberPath);
                addKeys(memberPath, member.getValue(), paths);
            }
        } else if (value.isArray()) {
            paths.addAll(keysOfEachElement(path + ELEMENT, value.asArray()));
        }
    }

    private static Set<String> keysOfEachElement(String path, JsonArray array) {
        Set<String> common = new HashSet<>();
        for (int index = 0; index < array.size(); index++) {
            Set<String> ofElement = new HashSet<>();
            addKeys(path, array.get(index), ofElement);
            if (index == 0) {
                common.addAll(ofElement);
            } else {
                common.retainAll(ofElement);
            }
        }
        return common;
    }

    /**
     * The keys that a newer file lacks, in alphabetical order: those of this file that are not optional. The objects of
     * an array that is empty in the newer file lack none.
     */
    Set<String> missingIn(ConfigKeys newer) {
        Set<String> missing = new TreeSet<>(paths);
        missing.removeAll(newer.paths);
        missing.removeAll(OPTIONAL);
        missing.removeIf(path -> path.contains(ELEMENT) && !newer.hasKeysBelow(arrayOf(path)));
        return missing;
    }

    private static String arrayOf(String path) {
        return path.substring(0, path.indexOf(ELEMENT) + ELEMENT.length());
    }

    private boolean hasKeysBelow(String array) {
        return paths.stream().anyMatch(path -> path.startsWith(array));
    }
}
